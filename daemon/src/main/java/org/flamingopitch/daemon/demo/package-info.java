/** The demonstration: entry hosts and stand-ins in one process, on loopback and free ports. */
package org.flamingopitch.daemon.demo;
