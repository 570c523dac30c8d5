/** Tests of the entry host's interfaces. */
package org.flamingopitch.daemon.entry;
