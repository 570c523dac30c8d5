package org.flamingopitch.coordination.ownership;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.membership.LeaseTimings;
import org.flamingopitch.coordination.membership.Member;

/**
 * The peers that this process knows, the peers that know it, and the processes that are confirmed to have terminated.
 * An owner asks only the peers that it knows to promise not to take over. This is safe because a process that the owner
 * does not know waits for the much longer {@link LeaseTimings#outageBound} before it takes over.
 */
public final class PeerKnowledge {

    private final Map<ProcessId, Member> knownPeers = new TreeMap<>();

    private final Set<ProcessId> knownBy = new HashSet<>();

    private final Set<ProcessId> terminated = new HashSet<>();

    /**
     * Adds a peer that introduced itself.
     *
     * @param member the peer
     */
    public void addKnownPeer(Member member) {
        knownPeers.put(member.id(), member);
    }

    /**
     * Records that a peer knows this process.
     *
     * @param peer the peer that confirmed the introduction of this process
     */
    public void recordKnownBy(ProcessId peer) {
        knownBy.add(peer);
    }

    /** Removes all records of peers that know this process; called when it has registered under a new lease. */
    public void clearKnownBy() {
        knownBy.clear();
    }

    /**
     * Removes a known peer whose registration in the store has expired.
     *
     * @param id the peer
     */
    public void removeKnownPeer(ProcessId id) {
        knownPeers.remove(id);
    }

    /**
     * Records that a process has terminated, for example because its host refuses connections to its port.
     *
     * @param id the process
     */
    public void recordTerminated(ProcessId id) {
        terminated.add(id);
        knownPeers.remove(id);
    }

    /**
     * Returns whether a process is confirmed to have terminated.
     *
     * @param id the process
     * @return whether the termination was recorded here
     */
    public boolean terminated(ProcessId id) {
        return terminated.contains(id);
    }

    /**
     * Returns whether a peer knows this process.
     *
     * @param id the peer
     * @return whether the peer confirmed an introduction under the current registration
     */
    public boolean knownBy(ProcessId id) {
        return knownBy.contains(id);
    }

    /**
     * Returns the peers that introduced themselves.
     *
     * @return the peers, without those that have terminated or whose registration has expired
     */
    public Iterable<Member> knownPeers() {
        return knownPeers.values();
    }
}
