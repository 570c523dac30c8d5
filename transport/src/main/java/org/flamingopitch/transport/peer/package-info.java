/** TCP connections between the processes of the system, with length-prefixed frames. Callers encode the content. */
package org.flamingopitch.transport.peer;
