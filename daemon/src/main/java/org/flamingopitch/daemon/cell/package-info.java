/** A host of the system on the users' platform. */
package org.flamingopitch.daemon.cell;
