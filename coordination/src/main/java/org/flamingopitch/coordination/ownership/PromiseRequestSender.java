package org.flamingopitch.coordination.ownership;

import org.flamingopitch.coordination.api.ProcessId;

/** Sends a peer the request to promise that it takes over no partition from this process before a certain time. */
@FunctionalInterface
public interface PromiseRequestSender {

    /**
     * Sends a request; the peer's answer is passed to {@link OutagePromises#applyReply}.
     *
     * @param peer the peer
     * @param group the ownership group
     * @param round the number of the round of requests, which the answer repeats
     */
    void send(ProcessId peer, String group, long round);
}
