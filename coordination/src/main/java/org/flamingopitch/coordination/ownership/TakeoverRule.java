package org.flamingopitch.coordination.ownership;

import java.time.Instant;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.StoreWatcher;
import org.flamingopitch.coordination.membership.LeaseTimings;
import org.flamingopitch.coordination.membership.MembershipService;

/** Says when partitions may be taken over from an owner: only once it can certainly not act any more. */
final class TakeoverRule {

    private final StoreWatcher watcher;

    private final MembershipService membership;

    private final Acquaintances acquaintances;

    private final LeaseTimings timings;

    private final OutagePromises promises;

    TakeoverRule(
            StoreWatcher watcher,
            MembershipService membership,
            Acquaintances acquaintances,
            LeaseTimings timings,
            OutagePromises promises) {
        this.watcher = watcher;
        this.membership = membership;
        this.acquaintances = acquaintances;
        this.timings = timings;
        this.promises = promises;
    }

    boolean mayTakeOver(ProcessId owner, Instant now) {
        if (membership.member(owner).isPresent() || promises.promisedTo(owner)) {
            return false;
        }
        if (acquaintances.gone(owner)) {
            return true;
        }
        if (now.isBefore(watcher.reconnected().plus(timings.timeToLive()))) {
            return false;
        }
        if (acquaintances.knownBy(owner)) {
            return true;
        }
        Instant absent = membership.absentSince(owner).orElse(watcher.reconnected());
        return now.isAfter(absent.plus(timings.outageBound()));
    }
}
