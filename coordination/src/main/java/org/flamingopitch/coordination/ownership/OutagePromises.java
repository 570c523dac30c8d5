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
 * Extends ownership during an outage of the store by promises: a peer's promise is that it takes over no partition from
 * the owner before a certain time. Ownership is extended only if every process that could take over promises. One peer
 * that can reach the store, or that does not answer, ends the extension.
 */
public final class OutagePromises {

    private static final Duration ROUND_INTERVAL = Duration.ofMillis(300);

    private final LoopContext context;

    private final String group;

    private final MembershipService membership;

    private final PeerKnowledge peerKnowledge;

    private final LeaseTimings timings;

    private final OwnershipScope scope;

    private final PromiseRequestSender requestSender;

    private final Supplier<Instant> ownershipEnd;

    private final LeaseGuard extensionGuard;

    /** The ends of the promises that this process gave, by owner. */
    private final Map<ProcessId, Instant> promisedUntil = new HashMap<>();

    /** The peers that gave this process a promise in the current round. */
    private final Set<ProcessId> grantedBy = new HashSet<>();

    private final Set<ProcessId> askedPeers = new TreeSet<>();

    private long round;

    private Instant roundSentAt = Instant.EPOCH;

    /**
     * Creates an instance for one group, without promises.
     *
     * @param context the time, timers and store calls
     * @param group the group's name
     * @param membership this process's membership
     * @param peerKnowledge the peers that this process knows and those that have terminated
     * @param timings the lease's timings
     * @param scope the members that could take over
     * @param requestSender sends the requests for promises
     * @param ownershipEnd returns the end of the current ownership; once it has passed, promises do not extend it
     */
    public OutagePromises(
            LoopContext context,
            String group,
            MembershipService membership,
            PeerKnowledge peerKnowledge,
            LeaseTimings timings,
            OwnershipScope scope,
            PromiseRequestSender requestSender,
            Supplier<Instant> ownershipEnd) {
        this.context = context;
        this.group = group;
        this.membership = membership;
        this.peerKnowledge = peerKnowledge;
        this.timings = timings;
        this.scope = scope;
        this.requestSender = requestSender;
        this.ownershipEnd = ownershipEnd;
        this.extensionGuard = new LeaseGuard(timings.margin());
    }

    /**
     * Returns the time until which the peers' promises extend ownership.
     *
     * @return the end of the extension
     */
    public Instant validUntil() {
        return extensionGuard.validUntil();
    }

    /**
     * Requests promises from all peers if the last lease call got no answer, at most once per round interval; called at
     * short intervals.
     */
    public void poll() {
        Instant now = context.now();
        if (!membership.storeUnreachable() || now.isBefore(roundSentAt.plus(ROUND_INTERVAL))) {
            return;
        }
        if (now.isAfter(latestRoundStart())) {
            return;
        }
        startRound(now);
    }

    /**
     * Applies a peer's answer; answers to former rounds are ignored.
     *
     * @param peer the peer
     * @param answeredRound the round that the peer answers
     * @param promised whether the peer promised
     */
    public void applyReply(ProcessId peer, long answeredRound, boolean promised) {
        if (answeredRound != round || !promised) {
            return;
        }
        grantedBy.add(peer);
        extendIfComplete();
    }

    /**
     * Decides on a peer's request for a promise. If it is granted, this process takes over nothing from the peer for
     * the duration of a promise in the lease timings.
     *
     * @param peer the peer
     * @param takeoverOutcomeUnknown whether a takeover that this process wrote to the store may still take effect
     * @return whether the promise is granted
     */
    public boolean grantPromise(ProcessId peer, boolean takeoverOutcomeUnknown) {
        if (!membership.storeUnreachable() || takeoverOutcomeUnknown) {
            return false;
        }
        promisedUntil.put(peer, context.now().plus(timings.promiseDuration()));
        return true;
    }

    /**
     * Returns whether a promise of this process forbids a takeover from an owner.
     *
     * @param owner the owner
     * @return whether the promise is still in force
     */
    public boolean promisedTo(ProcessId owner) {
        return context.now().isBefore(promisedUntil.getOrDefault(owner, Instant.EPOCH));
    }

    private Instant latestRoundStart() {
        return membership.guard().validUntil().plus(timings.outageBound()).minus(timings.promiseDuration());
    }

    private void startRound(Instant now) {
        round++;
        roundSentAt = now;
        grantedBy.clear();
        askedPeers.clear();
        membership.members().forEach(this::addIfEligible);
        peerKnowledge.knownPeers().forEach(this::addIfEligible);
        askedPeers.forEach(peer -> requestSender.send(peer, group, round));
        extendIfComplete();
    }

    private void addIfEligible(Member member) {
        boolean other = !member.id().equals(membership.self().id());
        if (other && scope.eligible(member) && !peerKnowledge.terminated(member.id())) {
            askedPeers.add(member.id());
        }
    }

    private void extendIfComplete() {
        boolean ended = !context.now().isBefore(ownershipEnd.get());
        if (!ended && grantedBy.containsAll(askedPeers)) {
            extensionGuard.extend(roundSentAt, timings.promiseDuration());
        }
    }
}
