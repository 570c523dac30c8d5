package org.flamingopitch.transport.peer;

import org.flamingopitch.coordination.api.ProcessId;

/**
 * Learns of connections and messages, in the transport's thread.
 *
 * @param <M> the type of the messages
 */
public interface PeerListener<M> {

    /**
     * The connection to a process is up.
     *
     * @param peer the process
     */
    void connected(ProcessId peer);

    /**
     * A connection with a process was lost; messages either way may be lost.
     *
     * @param peer the process
     */
    void lost(ProcessId peer);

    /**
     * A process has ended: its port refuses connections or belongs to another process.
     *
     * @param peer the process
     */
    void gone(ProcessId peer);

    /**
     * A message arrived.
     *
     * @param from the sender
     * @param message the message
     */
    void received(ProcessId from, M message);
}
