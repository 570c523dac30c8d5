package org.flamingopitch.coordination.ownership;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.membership.Member;

/**
 * Keeps which processes know this one, which it knows, and which are confirmed to be gone. A process that asks all it
 * knows for a promise may rely on it only because a process that it does not know waits much longer before a takeover.
 */
public final class Acquaintances {

    private final Map<ProcessId, Member> known = new TreeMap<>();

    private final Set<ProcessId> knownBy = new HashSet<>();

    private final Set<ProcessId> gone = new HashSet<>();

    /**
     * Notes a process that introduced itself.
     *
     * @param member the process
     */
    public void meet(Member member) {
        known.put(member.id(), member);
    }

    /**
     * Notes that a peer knows this process.
     *
     * @param peer the peer
     */
    public void welcomedBy(ProcessId peer) {
        knownBy.add(peer);
    }

    /** Forgets who knows this process; called when its registration lapsed. */
    public void forgetWelcomes() {
        knownBy.clear();
    }

    /**
     * Forgets a process whose registration has lapsed in the store.
     *
     * @param id the process
     */
    public void forget(ProcessId id) {
        known.remove(id);
    }

    /**
     * Notes that a process has ended for good, for instance because its host refuses connections to its port.
     *
     * @param id the process
     */
    public void confirmGone(ProcessId id) {
        gone.add(id);
        known.remove(id);
    }

    /**
     * Tells whether a process has ended for good.
     *
     * @param id the process
     * @return whether that is confirmed
     */
    public boolean gone(ProcessId id) {
        return gone.contains(id);
    }

    /**
     * Tells whether a peer knows this process.
     *
     * @param id the peer
     * @return whether it said so under the current registration
     */
    public boolean knownBy(ProcessId id) {
        return knownBy.contains(id);
    }

    /**
     * Returns the processes that introduced themselves.
     *
     * @return the processes, without those that are gone
     */
    public Iterable<Member> known() {
        return known.values();
    }
}
