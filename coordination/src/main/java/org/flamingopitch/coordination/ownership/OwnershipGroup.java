package org.flamingopitch.coordination.ownership;

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

/** One group of partitions: claims those without a live owner, gives up those that another process should own. */
public final class OwnershipGroup {

    private static final Duration EVALUATE_INTERVAL = Duration.ofMillis(200);

    private static final Duration SETTLE_BEFORE_HAND_OVER = Duration.ofSeconds(3);

    private final LoopContext context;

    private final String key;

    private final StoreWatcher watcher;

    private final MembershipService membership;

    private final OwnershipScope scope;

    private final OwnershipListener listener;

    private final OutagePromises promises;

    private final TakeoverRule takeovers;

    private final Map<PartitionId, Long> owned = new TreeMap<>();

    private final Map<ProcessId, Instant> firstSeen = new HashMap<>();

    private final Set<PartitionId> handingOver = new TreeSet<>();

    private final Set<PartitionId> readyToHandOver = new HashSet<>();

    private OwnershipMap map = OwnershipMap.empty();

    private long mapVersion = KeyValueRequest.ABSENT;

    private long confirmedRegistration;

    private long takeoverInDoubtAtVersion = -1;

    private long writes;

    private boolean callInFlight;

    private boolean stopped;

    /**
     * Creates a group.
     *
     * @param context the loop
     * @param group the group's name
     * @param key the store's key of the group's map
     * @param watcher follows that key
     * @param membership this process's membership
     * @param acquaintances who knows whom
     * @param timings the lease's times
     * @param scope the partitions and the members that may own them
     * @param port asks peers for promises
     * @param listener learns of changes
     */
    public OwnershipGroup(
            LoopContext context,
            String group,
            String key,
            StoreWatcher watcher,
            MembershipService membership,
            Acquaintances acquaintances,
            LeaseTimings timings,
            OwnershipScope scope,
            PromisePort port,
            OwnershipListener listener) {
        this.context = context;
        this.key = key;
        this.watcher = watcher;
        this.membership = membership;
        this.scope = scope;
        this.listener = listener;
        this.promises =
                new OutagePromises(context, group, membership, acquaintances, timings, scope, port, this::validUntil);
        this.takeovers = new TakeoverRule(watcher, membership, acquaintances, timings, promises);
        watcher.listen(this::applyWatched);
    }

    /** Starts to claim. */
    public void start() {
        evaluateRegularly();
    }

    /** Stops to claim. */
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
     * Returns the owners as this process last read them.
     *
     * @return the map
     */
    public OwnershipMap map() {
        return map;
    }

    /**
     * Returns until when effects for owned partitions may leave this process.
     *
     * @return the end of the lease or of the promises, whichever is later
     */
    public Instant validUntil() {
        Instant promised = promises.validUntil();
        if (!confirmed()) {
            return promised;
        }
        Instant leased = membership.guard().validUntil();
        return leased.isAfter(promised) ? leased : promised;
    }

    /**
     * Tells whether this process may act for a partition now.
     *
     * @param partition the partition
     * @return whether it owns the partition under a valid guard
     */
    public boolean active(PartitionId partition) {
        return owned.containsKey(partition) && context.now().isBefore(validUntil());
    }

    /**
     * Returns the epoch of an owned partition.
     *
     * @param partition the partition
     * @return the epoch, if this process owns it
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
     * Tells whether this process may still take over by a write whose outcome it does not know.
     *
     * @return whether such a write is in flight or in doubt
     */
    public boolean takeoverInDoubt() {
        return callInFlight || takeoverInDoubtAtVersion == mapVersion;
    }

    private boolean confirmed() {
        return membership.registered() && confirmedRegistration == membership.registration();
    }

    private void evaluateRegularly() {
        if (stopped) {
            return;
        }
        promises.poll();
        evaluate();
        context.schedule(EVALUATE_INTERVAL, this::evaluateRegularly);
    }

    private void evaluate() {
        rememberMembers();
        boolean usable = membership.registered() && watcher.listed() && !callInFlight;
        if (!usable || !membership.guard().validAt(context.now())) {
            return;
        }
        if (!confirmed()) {
            confirm();
            return;
        }
        List<OwnershipEntry> changes = new ArrayList<>();
        for (PartitionId partition : scope.partitions()) {
            considerPartition(partition, changes);
        }
        if (!changes.isEmpty()) {
            write(changes);
        }
    }

    private void rememberMembers() {
        for (Member member : membership.members()) {
            firstSeen.putIfAbsent(member.id(), context.now());
        }
        firstSeen.keySet().removeIf(id -> membership.member(id).isEmpty());
    }

    private void confirm() {
        long registration = membership.registration();
        callInFlight = true;
        context.keyValue(new KeyValueRequest.Get(key), result -> applyConfirmRead(result, registration));
    }

    private void applyConfirmRead(KeyValueResult result, long registration) {
        callInFlight = false;
        applyRead(result);
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

    private void considerPartition(PartitionId partition, List<OwnershipEntry> changes) {
        Optional<OwnershipEntry> entry = map.entry(partition);
        Optional<ProcessId> proposed = RendezvousHash.propose(partition, candidates());
        if (proposed.isEmpty()) {
            return;
        }
        ProcessId self = membership.self().id();
        if (entry.isPresent() && entry.get().owner().equals(self)) {
            considerHandOver(entry.get(), proposed.get(), changes);
            return;
        }
        boolean claimable = entry.isEmpty() || takeovers.mayTakeOver(entry.get().owner(), context.now());
        if (claimable && proposed.get().equals(self)) {
            long epoch = entry.map(OwnershipEntry::epoch).orElse(0L) + 1;
            changes.add(new OwnershipEntry(partition, self, membership.self().peerAddress(), epoch));
        }
    }

    private List<ProcessId> candidates() {
        return membership.members().stream()
                .filter(member -> scope.eligible(member) && !member.draining())
                .map(Member::id)
                .toList();
    }

    private void considerHandOver(OwnershipEntry entry, ProcessId proposed, List<OwnershipEntry> changes) {
        PartitionId partition = entry.partition();
        if (proposed.equals(entry.owner())) {
            resumeIfHandingOver(entry, changes);
            return;
        }
        Instant seen = firstSeen.getOrDefault(proposed, context.now());
        boolean settled = !context.now().isBefore(seen.plus(SETTLE_BEFORE_HAND_OVER));
        if (!settled && !membership.self().draining()) {
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

    private void resumeIfHandingOver(OwnershipEntry entry, List<OwnershipEntry> changes) {
        if (!handingOver.contains(entry.partition())) {
            return;
        }
        lose(entry.partition());
        changes.add(new OwnershipEntry(entry.partition(), entry.owner(), entry.peerAddress(), entry.epoch() + 1));
    }

    private void write(List<OwnershipEntry> changes) {
        write(changes, membership.registration());
    }

    private void write(List<OwnershipEntry> changes, long registration) {
        writes++;
        String writeId = membership.self().id() + "/" + writes;
        OwnershipMap changed = map.with(changes, writeId);
        callInFlight = true;
        long expected = mapVersion;
        context.keyValue(
                new KeyValueRequest.Put(key, JsonCodec.json().encode(changed), expected, null),
                result -> applyWritten(result, changed, expected, registration));
    }

    private void applyWritten(KeyValueResult result, OwnershipMap changed, long expected, long registration) {
        callInFlight = false;
        if (result instanceof KeyValueResult.Written written) {
            if (registration == membership.registration()) {
                confirmedRegistration = registration;
            }
            applyMap(changed, written.version());
            return;
        }
        takeoverInDoubtAtVersion = result.answered() ? -1 : expected;
        read();
    }

    private void read() {
        callInFlight = true;
        context.keyValue(new KeyValueRequest.Get(key), result -> {
            callInFlight = false;
            applyRead(result);
        });
    }

    private void applyRead(KeyValueResult result) {
        if (result instanceof KeyValueResult.Found found) {
            applyMap(
                    JsonCodec.json().decode(found.entry().value(), OwnershipMap.class),
                    found.entry().version());
        }
    }

    private void applyWatched(KeyValueEntry entry) {
        if (entry.key().equals(key) && !entry.deleted()) {
            applyMap(JsonCodec.json().decode(entry.value(), OwnershipMap.class), entry.version());
        }
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
                lose(partition);
            }
        }
        for (OwnershipEntry entry : newMap.entries()) {
            if (entry.owner().equals(self)) {
                gain(entry);
            }
        }
    }

    private void lose(PartitionId partition) {
        owned.remove(partition);
        handingOver.remove(partition);
        readyToHandOver.remove(partition);
        listener.lost(partition);
    }

    private void gain(OwnershipEntry entry) {
        Long known = owned.put(entry.partition(), entry.epoch());
        if (known == null) {
            listener.gained(entry.partition(), entry.epoch());
        }
    }
}
