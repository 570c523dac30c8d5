/** Connections between the system's own processes: length-framed TCP with MessagePack. */
package org.flamingopitch.transport.peer;
