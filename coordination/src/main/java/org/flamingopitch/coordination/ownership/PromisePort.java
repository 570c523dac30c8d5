package org.flamingopitch.coordination.ownership;

import org.flamingopitch.coordination.api.ProcessId;

/** Asks a peer to promise that it takes nothing over from this process for a while. */
@FunctionalInterface
public interface PromisePort {

    /**
     * Asks a peer; its answer comes back through {@link OutagePromises#applyReply}.
     *
     * @param peer the peer
     * @param group the ownership group
     * @param round the number of the round
     */
    void ask(ProcessId peer, String group, long round);
}
