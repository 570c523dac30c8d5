package org.flamingopitch.coordination.ownership;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.kv.StoreWatcher;
import org.flamingopitch.coordination.membership.LeaseTimings;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.coordination.membership.MembershipService;

/**
 * This process's ownership of the partitions of one group. It claims partitions that have no live owner and hands over
 * those that rendezvous hashing assigns to another process.
 */
public final class OwnershipGroup {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final Duration EVALUATION_INTERVAL = Duration.ofMillis(200);

    /** How long a proposed owner must have been a member before a process that is not draining hands over to it. */
    private static final Duration MIN_MEMBER_AGE_FOR_HAND_OVER = Duration.ofSeconds(3);

    private final LoopContext context;

    private final String key;

    private final StoreWatcher watcher;

    private final MembershipService membership;

    private final OwnershipScope scope;

    private final OwnershipListener listener;

    private final OutagePromises promises;

    private final TakeoverRule takeoverRule;

    private final TakeoverTurn takeoverTurn;

    private final Map<PartitionId, Long> owned = new TreeMap<>();

    private final Map<ProcessId, Instant> firstSeenAt = new HashMap<>();

    private final Set<PartitionId> handingOver = new TreeSet<>();

    private final Set<PartitionId> readyToHandOver = new HashSet<>();

    private OwnershipMap map = OwnershipMap.empty();

    private long mapVersion = KeyValueRequest.ABSENT;

    /** The number of the registration for which {@link #confirmRegistration} last succeeded. */
    private long confirmedRegistration;

    /** The map version that the last write expected, if the outcome of that write is unknown; otherwise -1. */
    private long unknownOutcomeVersion = -1;

    private long writeCount;

    private boolean callInFlight;

    private boolean stopped;

    /**
     * Creates a group.
     *
     * @param context the time, timers and store calls
     * @param group the group's name
     * @param key the key of the group's map in the store
     * @param watcher delivers the changes of that key
     * @param membership this process's membership
     * @param peerKnowledge the peers that this process knows and that know it
     * @param timings the lease's timings
     * @param scope the partitions and the members that may own them
     * @param requestSender sends peers the requests for promises
     * @param listener receives the changes of this process's ownership
     */
    public OwnershipGroup(
            LoopContext context,
            String group,
            String key,
            StoreWatcher watcher,
            MembershipService membership,
            PeerKnowledge peerKnowledge,
            LeaseTimings timings,
            OwnershipScope scope,
            PromiseRequestSender requestSender,
            OwnershipListener listener) {
        this.context = context;
        this.key = key;
        this.watcher = watcher;
        this.membership = membership;
        this.scope = scope;
        this.listener = listener;
        this.promises = new OutagePromises(
                context, group, membership, peerKnowledge, timings, scope, requestSender, this::validUntil);
        this.takeoverRule = new TakeoverRule(watcher, membership, peerKnowledge, timings, promises);
        this.takeoverTurn = new TakeoverTurn(timings.renewInterval());
        watcher.addListener(this::applyEntry);
    }

    /** Starts to claim partitions and to hand them over. */
    public void start() {
        evaluatePeriodically();
    }

    /** Stops claiming partitions and handing them over. */
    public void stop() {
        stopped = true;
    }

    /**
     * Returns the promises that extend ownership during an outage of the store.
     *
     * @return the promises
     */
    public OutagePromises promises() {
        return promises;
    }

    /**
     * Returns the ownership map that this process last received from the store.
     *
     * @return the map, which may be out of date
     */
    public OwnershipMap map() {
        return map;
    }

    /**
     * Returns the time until which this process may send messages and write to the store for the partitions it owns.
     *
     * @return the end of the lease guard or of the extension by promises, whichever is later
     */
    public Instant validUntil() {
        Instant promised = promises.validUntil();
        if (!registrationConfirmed()) {
            return promised;
        }
        Instant leased = membership.guard().validUntil();
        return leased.isAfter(promised) ? leased : promised;
    }

    /**
     * Returns whether this process may now act as the owner of a partition.
     *
     * @param partition the partition
     * @return whether it owns the partition and {@link #validUntil} has not passed
     */
    public boolean active(PartitionId partition) {
        return owned.containsKey(partition) && context.now().isBefore(validUntil());
    }

    /**
     * Returns the epoch of an owned partition.
     *
     * @param partition the partition
     * @return the epoch, or nothing if this process does not own the partition
     */
    public Optional<Long> epoch(PartitionId partition) {
        return Optional.ofNullable(owned.get(partition));
    }

    /**
     * Returns the partitions that this process owns.
     *
     * @return the partitions
     */
    public Set<PartitionId> owned() {
        return owned.keySet();
    }

    /**
     * Returns whether a takeover by this process may still take effect because the outcome of its write is unknown.
     *
     * @return whether a store call is in flight or the outcome of the last write is unknown
     */
    public boolean takeoverOutcomeUnknown() {
        return callInFlight || unknownOutcomeVersion == mapVersion;
    }

    private boolean registrationConfirmed() {
        return membership.registered() && confirmedRegistration == membership.registration();
    }

    private void evaluatePeriodically() {
        if (stopped) {
            return;
        }
        promises.poll();
        evaluate();
        context.schedule(EVALUATION_INTERVAL, this::evaluatePeriodically);
    }

    private void evaluate() {
        updateFirstSeenTimes();
        boolean canCallStore = membership.registered() && watcher.initialListReceived() && !callInFlight;
        if (!canCallStore || !membership.guard().validAt(context.now())) {
            return;
        }
        if (!registrationConfirmed()) {
            confirmRegistration();
            return;
        }
        List<OwnershipEntry> changes = new ArrayList<>();
        for (PartitionId partition : scope.partitions()) {
            evaluatePartition(partition, changes);
        }
        if (!changes.isEmpty()) {
            write(changes);
        }
    }

    private void updateFirstSeenTimes() {
        for (Member member : membership.members()) {
            firstSeenAt.putIfAbsent(member.id(), context.now());
        }
        firstSeenAt.keySet().removeIf(id -> membership.member(id).isEmpty());
    }

    /**
     * Confirms after a new registration that no other process has taken over this process's partitions: reads the map
     * and writes this process's entries again, which fails if another process has changed the map since.
     */
    private void confirmRegistration() {
        long registration = membership.registration();
        callInFlight = true;
        context.callStore(new KeyValueRequest.Get(key), result -> handleConfirmationRead(result, registration));
    }

    private void handleConfirmationRead(KeyValueResult result, long registration) {
        callInFlight = false;
        handleRead(result);
        if (!result.answered() || registration != membership.registration()) {
            return;
        }
        List<OwnershipEntry> own = ownEntries();
        if (own.isEmpty()) {
            confirmedRegistration = registration;
            return;
        }
        write(own, registration);
    }

    private List<OwnershipEntry> ownEntries() {
        ProcessId self = membership.self().id();
        return map.entries().stream()
                .filter(entry -> entry.owner().equals(self))
                .toList();
    }

    private void evaluatePartition(PartitionId partition, List<OwnershipEntry> changes) {
        Optional<OwnershipEntry> entry = map.entry(partition);
        List<ProcessId> candidates = candidates();
        Optional<ProcessId> proposed = RendezvousHash.propose(partition, candidates);
        if (proposed.isEmpty()) {
            return;
        }
        ProcessId self = membership.self().id();
        if (entry.isPresent() && entry.get().owner().equals(self)) {
            takeoverTurn.clear(partition);
            evaluateHandOver(entry.get(), proposed.get(), changes);
            return;
        }
        boolean selfProposed = proposed.get().equals(self);
        boolean claims =
                entry.isEmpty() ? selfProposed : candidates.contains(self) && shouldTakeOver(entry.get(), selfProposed);
        if (claims) {
            long epoch = entry.map(OwnershipEntry::epoch).orElse(0L) + 1;
            changes.add(new OwnershipEntry(partition, self, membership.self().peerAddress(), epoch));
        }
    }

    private boolean shouldTakeOver(OwnershipEntry entry, boolean selfProposed) {
        if (takeoverRule.mayTakeOver(entry.owner(), context.now())) {
            return takeoverTurn.hasCome(entry.partition(), selfProposed, context.now());
        }
        takeoverTurn.clear(entry.partition());
        return false;
    }

    private List<ProcessId> candidates() {
        return membership.members().stream()
                .filter(member -> scope.eligible(member) && !member.draining())
                .map(Member::id)
                .toList();
    }

    private void evaluateHandOver(OwnershipEntry entry, ProcessId proposed, List<OwnershipEntry> changes) {
        PartitionId partition = entry.partition();
        if (proposed.equals(entry.owner())) {
            reclaimIfHandingOver(entry, changes);
            return;
        }
        Instant proposedSeenAt = firstSeenAt.getOrDefault(proposed, context.now());
        boolean oldEnough = !context.now().isBefore(proposedSeenAt.plus(MIN_MEMBER_AGE_FOR_HAND_OVER));
        if (!oldEnough && !membership.self().draining()) {
            return;
        }
        if (readyToHandOver.contains(partition)) {
            String address =
                    membership.member(proposed).map(Member::peerAddress).orElse("");
            changes.add(new OwnershipEntry(partition, proposed, address, entry.epoch() + 1));
            return;
        }
        if (handingOver.add(partition)) {
            listener.handOver(partition, () -> readyToHandOver.add(partition));
        }
    }

    /** Ends a hand-over whose reason no longer applies and claims the partition again under a new epoch. */
    private void reclaimIfHandingOver(OwnershipEntry entry, List<OwnershipEntry> changes) {
        if (!handingOver.contains(entry.partition())) {
            return;
        }
        removeOwnership(entry.partition());
        changes.add(new OwnershipEntry(entry.partition(), entry.owner(), entry.peerAddress(), entry.epoch() + 1));
    }

    private void write(List<OwnershipEntry> changes) {
        write(changes, membership.registration());
    }

    private void write(List<OwnershipEntry> changes, long registration) {
        writeCount++;
        String writeId = membership.self().id() + "/" + writeCount;
        OwnershipMap changed = map.with(changes, writeId);
        callInFlight = true;
        long expectedVersion = mapVersion;
        context.callStore(
                new KeyValueRequest.Put(key, JsonCodec.json().encode(changed), expectedVersion, null),
                result -> handleWrite(result, changed, expectedVersion, registration));
    }

    private void handleWrite(KeyValueResult result, OwnershipMap changed, long expectedVersion, long registration) {
        callInFlight = false;
        if (result instanceof KeyValueResult.Written written) {
            if (registration == membership.registration()) {
                confirmedRegistration = registration;
            }
            applyMap(changed, written.version());
            return;
        }
        unknownOutcomeVersion = result.answered() ? -1 : expectedVersion;
        read();
    }

    private void read() {
        callInFlight = true;
        context.callStore(new KeyValueRequest.Get(key), result -> {
            callInFlight = false;
            handleRead(result);
        });
    }

    private void handleRead(KeyValueResult result) {
        if (result instanceof KeyValueResult.Found found) {
            applyEntry(found.entry());
        }
    }

    /** Applies a stored map; one that cannot be read leaves the owners as they are. */
    private void applyEntry(KeyValueEntry entry) {
        if (!entry.key().equals(key) || entry.deleted()) {
            return;
        }
        OwnershipMap stored;
        try {
            stored = JsonCodec.json().decode(entry.value(), OwnershipMap.class);
        } catch (IllegalArgumentException e) {
            LOGGER.atSevere().log(
                    "event=ownership_unreadable key=%s version=%d detail=\"%s\"",
                    entry.key(), entry.version(), e.getMessage());
            return;
        }
        applyMap(stored, entry.version());
    }

    private void applyMap(OwnershipMap newMap, long version) {
        if (version <= mapVersion) {
            return;
        }
        map = newMap;
        mapVersion = version;
        ProcessId self = membership.self().id();
        for (PartitionId partition : List.copyOf(owned.keySet())) {
            boolean stillOwner = newMap.entry(partition)
                    .filter(entry -> entry.owner().equals(self))
                    .isPresent();
            if (!stillOwner) {
                removeOwnership(partition);
            }
        }
        for (OwnershipEntry entry : newMap.entries()) {
            if (entry.owner().equals(self)) {
                addOwnership(entry);
            }
        }
    }

    private void removeOwnership(PartitionId partition) {
        owned.remove(partition);
        handingOver.remove(partition);
        readyToHandOver.remove(partition);
        listener.lost(partition);
    }

    private void addOwnership(OwnershipEntry entry) {
        Long previousEpoch = owned.put(entry.partition(), entry.epoch());
        if (previousEpoch == null) {
            listener.gained(entry.partition(), entry.epoch());
        }
    }
}
