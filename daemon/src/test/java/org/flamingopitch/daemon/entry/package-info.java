/** Tests of the entry host. */
package org.flamingopitch.daemon.entry;
