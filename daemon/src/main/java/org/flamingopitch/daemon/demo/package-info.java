/** The {@code demo} command: entry hosts and stand-ins of the platform's services in one process, on loopback. */
package org.flamingopitch.daemon.demo;
