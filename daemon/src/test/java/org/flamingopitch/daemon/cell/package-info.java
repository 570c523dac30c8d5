/** Tests of a host on the users' platform. */
package org.flamingopitch.daemon.cell;
