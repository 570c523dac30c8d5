/** Tests of the connections between processes of the system, over loopback. */
package org.flamingopitch.transport.peer;
