package org.flamingopitch.transport.peer;

import org.flamingopitch.coordination.api.ProcessId;

/**
 * Receives the events of a {@link PeerTransport}, in its thread.
 *
 * @param <M> the type of the messages
 */
public interface PeerListener<M> {

    /**
     * Called when the connection to a process can be written to.
     *
     * @param peer the process
     */
    void connected(ProcessId peer);

    /**
     * Called when a connection to or from a process closes, or a message has no connection to be sent on; messages in
     * either direction may be lost.
     *
     * @param peer the process
     */
    void connectionLost(ProcessId peer);

    /**
     * Called when a process has terminated: its port refuses connections or belongs to another process.
     *
     * @param peer the process
     */
    void processTerminated(ProcessId peer);

    /**
     * Called when a message arrives.
     *
     * @param from the sender
     * @param message the message
     */
    void received(ProcessId from, M message);
}
