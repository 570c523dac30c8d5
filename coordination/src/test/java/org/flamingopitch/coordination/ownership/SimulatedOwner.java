package org.flamingopitch.coordination.ownership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.kv.StoreWatcher;
import org.flamingopitch.coordination.loop.TimerQueue;
import org.flamingopitch.coordination.membership.LeaseTimings;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.coordination.membership.MembershipService;

/**
 * A simulated process with membership and ownership of one partition. It can lose its connection to the store, and its
 * writes can be delayed until after they have timed out.
 */
final class SimulatedOwner implements LoopContext {

    static final PartitionId PARTITION = new PartitionId("partition");

    private static final String KEY_PREFIX = "followed/";

    private final Member member;

    private final FakeStore store;

    private final LeaseTimings timings;

    private final TimerQueue timers = new TimerQueue();

    private final Deque<Runnable> pendingCallbacks = new ArrayDeque<>();

    private final List<Runnable> delayedWrites = new ArrayList<>();

    private final PeerKnowledge peerKnowledge = new PeerKnowledge();

    private final MembershipService membership;

    private final OwnershipGroup group;

    private SimulatedOwner peer;

    private Instant now;

    private boolean delaysWrites;

    private boolean disconnected;

    SimulatedOwner(String id, FakeStore store, LeaseTimings timings) {
        this.member = new Member(new ProcessId(id), "centre", "region", "10.0.0.1:1", false);
        this.store = store;
        this.timings = timings;
        this.now = store.now();
        StoreWatcher watcher = new StoreWatcher(this, KEY_PREFIX);
        this.membership = new MembershipService(this, watcher, timings, KEY_PREFIX + "members/", member);
        this.group = new OwnershipGroup(
                this,
                "group",
                KEY_PREFIX + "owners",
                watcher,
                membership,
                peerKnowledge,
                timings,
                new SinglePartitionScope(),
                (to, name, round) -> peer.answerPromiseRequest(this, round),
                new IgnoringListener());
        watcher.start();
        membership.start();
        group.start();
    }

    void introduce(SimulatedOwner other) {
        peer = other;
        peerKnowledge.addKnownPeer(other.member);
        peerKnowledge.recordKnownBy(other.member.id());
        membership.onRegistered(() -> peerKnowledge.recordKnownBy(other.member.id()));
    }

    ProcessId id() {
        return member.id();
    }

    boolean active() {
        return group.active(PARTITION);
    }

    void setDelaysWrites(boolean delays) {
        delaysWrites = delays;
        if (!delays) {
            List<Runnable> released = List.copyOf(delayedWrites);
            delayedWrites.clear();
            released.forEach(Runnable::run);
        }
    }

    void setDisconnected(boolean disconnects) {
        disconnected = disconnects;
    }

    /** Advances to the store's time and runs all due timers and pending callbacks. */
    void runDueWork() {
        now = store.now();
        timers.runDue(now);
        while (!pendingCallbacks.isEmpty()) {
            pendingCallbacks.poll().run();
        }
    }

    private void answerPromiseRequest(SimulatedOwner asker, long round) {
        pendingCallbacks.add(() -> {
            boolean granted = group.promises().grantPromise(asker.id(), group.takeoverOutcomeUnknown());
            asker.pendingCallbacks.add(() -> asker.group.promises().applyReply(id(), round, granted));
        });
    }

    @Override
    public Instant now() {
        return now;
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        timers.add(now.plus(delay), action);
    }

    @Override
    public void callStore(KeyValueRequest request, Consumer<KeyValueResult> handler) {
        if (disconnected) {
            pendingCallbacks.add(() -> handler.accept(FakeStore.failed()));
            return;
        }
        if (delaysWrites && request.changesStore()) {
            delayedWrites.add(() -> store.call(request, result -> {}));
            schedule(Duration.ofMillis(700), () -> handler.accept(FakeStore.failed()));
            return;
        }
        store.call(request, result -> pendingCallbacks.add(() -> handler.accept(result)));
    }

    private static final class SinglePartitionScope implements OwnershipScope {

        @Override
        public SortedSet<PartitionId> partitions() {
            return new TreeSet<>(List.of(PARTITION));
        }

        @Override
        public boolean eligible(Member member) {
            return true;
        }
    }

    private static final class IgnoringListener implements OwnershipListener {

        @Override
        public void gained(PartitionId partition, long epoch) {
            // The exploration checks only whether the owner is active.
        }

        @Override
        public void lost(PartitionId partition) {
            // The exploration checks only whether the owner is active.
        }

        @Override
        public void handOver(PartitionId partition, Runnable done) {
            done.run();
        }
    }
}
