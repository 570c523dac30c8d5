package org.flamingopitch.coordination.ownership;

import java.time.Instant;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.StoreWatcher;
import org.flamingopitch.coordination.membership.LeaseTimings;
import org.flamingopitch.coordination.membership.MembershipService;

/** Decides when partitions may be taken over from an owner: only when the owner can no longer act. */
final class TakeoverRule {

    private final StoreWatcher watcher;

    private final MembershipService membership;

    private final PeerKnowledge peerKnowledge;

    private final LeaseTimings timings;

    private final OutagePromises promises;

    TakeoverRule(
            StoreWatcher watcher,
            MembershipService membership,
            PeerKnowledge peerKnowledge,
            LeaseTimings timings,
            OutagePromises promises) {
        this.watcher = watcher;
        this.membership = membership;
        this.peerKnowledge = peerKnowledge;
        this.timings = timings;
        this.promises = promises;
    }

    /**
     * Returns whether the partitions of an owner may be taken over. After each reconnection to the store, this process
     * takes over only from terminated owners until one lease time to live has passed. An owner that knows this process
     * cannot extend its ownership without a promise of this process; any other owner may extend it up to the outage
     * bound.
     */
    boolean mayTakeOver(ProcessId owner, Instant now) {
        if (membership.member(owner).isPresent() || promises.promisedTo(owner)) {
            return false;
        }
        if (peerKnowledge.terminated(owner)) {
            return true;
        }
        if (now.isBefore(watcher.reconnectedAt().plus(timings.timeToLive()))) {
            return false;
        }
        if (peerKnowledge.knownBy(owner)) {
            return true;
        }
        Instant absentSince = membership.absentSince(owner).orElse(watcher.reconnectedAt());
        return now.isAfter(absentSince.plus(timings.outageBound()));
    }
}
