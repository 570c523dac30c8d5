package org.flamingopitch.coordination.ownership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.lease.LeaseGuard;
import org.flamingopitch.coordination.membership.LeaseTimings;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.coordination.membership.MembershipService;

/**
 * Extends ownership while the store is out of reach for everybody: every process that could take over promises not to.
 * One peer that reaches the store, or that cannot be asked, is enough to end the extension.
 */
public final class OutagePromises {

    private static final Duration ROUND_INTERVAL = Duration.ofMillis(300);

    private final LoopContext context;

    private final String group;

    private final MembershipService membership;

    private final Acquaintances acquaintances;

    private final LeaseTimings timings;

    private final OwnershipScope scope;

    private final PromisePort port;

    private final Supplier<Instant> ownershipEnd;

    private final LeaseGuard guard;

    private final Map<ProcessId, Instant> promisedUntil = new HashMap<>();

    private final Set<ProcessId> granted = new HashSet<>();

    private final Set<ProcessId> asked = new TreeSet<>();

    private long round;

    private Instant roundSentAt = Instant.EPOCH;

    /**
     * Creates the promises of one group.
     *
     * @param context the loop
     * @param group the group's name
     * @param membership this process's membership
     * @param acquaintances who knows whom
     * @param timings the lease's times
     * @param scope which members could take over
     * @param port asks the peers
     * @param ownershipEnd until when ownership holds; once it has lapsed, promises no longer extend it
     */
    public OutagePromises(
            LoopContext context,
            String group,
            MembershipService membership,
            Acquaintances acquaintances,
            LeaseTimings timings,
            OwnershipScope scope,
            PromisePort port,
            Supplier<Instant> ownershipEnd) {
        this.context = context;
        this.group = group;
        this.membership = membership;
        this.acquaintances = acquaintances;
        this.timings = timings;
        this.scope = scope;
        this.port = port;
        this.ownershipEnd = ownershipEnd;
        this.guard = new LeaseGuard(timings.margin());
    }

    /**
     * Returns until when all promises together hold.
     *
     * @return the end of the extension
     */
    public Instant validUntil() {
        return guard.validUntil();
    }

    /** Asks for promises if the last renewal of the lease got no answer; called at short intervals. */
    public void poll() {
        Instant now = context.now();
        if (!membership.storeOutOfReach() || now.isBefore(roundSentAt.plus(ROUND_INTERVAL))) {
            return;
        }
        if (now.isAfter(outageEnd())) {
            return;
        }
        startRound(now);
    }

    /**
     * Applies a peer's answer.
     *
     * @param peer the peer
     * @param answeredRound the round that it answers
     * @param promise whether it promised
     */
    public void applyReply(ProcessId peer, long answeredRound, boolean promise) {
        if (answeredRound != round || !promise) {
            return;
        }
        granted.add(peer);
        extendIfComplete();
    }

    /**
     * Decides on a peer's request; with true, this process takes nothing over from it for the promised time.
     *
     * @param peer the peer
     * @param mayHaveTakenOver whether a write of this process that takes over may still take effect
     * @return whether this process promises
     */
    public boolean promise(ProcessId peer, boolean mayHaveTakenOver) {
        if (!membership.storeOutOfReach() || mayHaveTakenOver) {
            return false;
        }
        promisedUntil.put(peer, context.now().plus(timings.promise()));
        return true;
    }

    /**
     * Tells whether this process promised not to take over.
     *
     * @param owner the owner
     * @return whether the promise still holds
     */
    public boolean promisedTo(ProcessId owner) {
        return context.now().isBefore(promisedUntil.getOrDefault(owner, Instant.EPOCH));
    }

    private Instant outageEnd() {
        return membership.guard().validUntil().plus(timings.outageBound()).minus(timings.promise());
    }

    private void startRound(Instant now) {
        round++;
        roundSentAt = now;
        granted.clear();
        asked.clear();
        membership.members().forEach(this::addIfNeeded);
        acquaintances.known().forEach(this::addIfNeeded);
        asked.forEach(peer -> port.ask(peer, group, round));
        extendIfComplete();
    }

    private void addIfNeeded(Member member) {
        boolean other = !member.id().equals(membership.self().id());
        if (other && scope.eligible(member) && !acquaintances.gone(member.id())) {
            asked.add(member.id());
        }
    }

    private void extendIfComplete() {
        boolean lapsed = !context.now().isBefore(ownershipEnd.get());
        if (!lapsed && granted.containsAll(asked)) {
            guard.renewed(roundSentAt, timings.promise());
        }
    }
}
