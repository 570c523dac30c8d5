package org.flamingopitch.transport.peer;

import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.transport.http.HostPort;

/**
 * Where a process is reached.
 *
 * @param id the process
 * @param address its address
 */
public record PeerAddress(ProcessId id, HostPort address) {}
