package org.flamingopitch.transport.peer;

import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.transport.http.HostPort;

/**
 * The address that a process listens on for peers.
 *
 * @param id the id of the process
 * @param address its address
 */
public record PeerAddress(ProcessId id, HostPort address) {}
