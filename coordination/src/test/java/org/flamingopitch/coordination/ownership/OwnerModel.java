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

/** One process of the exploration: membership and ownership of one partition, with calls that can be held back. */
final class OwnerModel implements LoopContext {

    static final PartitionId PARTITION = new PartitionId("partition");

    private static final String PREFIX = "followed/";

    private final Member member;

    private final FakeStore store;

    private final LeaseTimings timings;

    private final TimerQueue timers = new TimerQueue();

    private final Deque<Runnable> answers = new ArrayDeque<>();

    private final List<Runnable> heldRequests = new ArrayList<>();

    private final Acquaintances acquaintances = new Acquaintances();

    private final MembershipService membership;

    private final OwnershipGroup group;

    private OwnerModel peer;

    private Instant now;

    private boolean holdsRequests;

    private boolean cutFromStore;

    OwnerModel(String id, FakeStore store, LeaseTimings timings) {
        this.member = new Member(new ProcessId(id), "centre", "region", "10.0.0.1:1", false);
        this.store = store;
        this.timings = timings;
        this.now = store.now();
        StoreWatcher watcher = new StoreWatcher(this, PREFIX);
        this.membership = new MembershipService(this, watcher, timings, PREFIX + "members/", member);
        this.group = new OwnershipGroup(
                this,
                "group",
                PREFIX + "owners",
                watcher,
                membership,
                acquaintances,
                timings,
                new OnePartition(),
                (to, name, round) -> peer.askedForPromise(this, round),
                new NoListener());
        watcher.start();
        membership.start();
        group.start();
    }

    void meet(OwnerModel other) {
        peer = other;
        acquaintances.meet(other.member);
        acquaintances.welcomedBy(other.member.id());
        membership.onRegistered(() -> acquaintances.welcomedBy(other.member.id()));
    }

    ProcessId id() {
        return member.id();
    }

    boolean active() {
        return group.active(PARTITION);
    }

    void hold(boolean hold) {
        holdsRequests = hold;
        if (!hold) {
            List<Runnable> released = List.copyOf(heldRequests);
            heldRequests.clear();
            released.forEach(Runnable::run);
        }
    }

    void cut(boolean cut) {
        cutFromStore = cut;
    }

    /** Runs everything that is due, unless the process stands still. */
    void run() {
        now = store.now();
        timers.runDue(now);
        while (!answers.isEmpty()) {
            answers.poll().run();
        }
    }

    private void askedForPromise(OwnerModel asker, long round) {
        answers.add(() -> {
            boolean granted = group.promises().promise(asker.id(), group.takeoverInDoubt());
            asker.answers.add(() -> asker.group.promises().applyReply(id(), round, granted));
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
    public void keyValue(KeyValueRequest request, Consumer<KeyValueResult> handler) {
        if (cutFromStore) {
            answers.add(() -> handler.accept(FakeStore.failed()));
            return;
        }
        if (holdsRequests && request.changesStore()) {
            heldRequests.add(() -> store.call(request, result -> {}));
            schedule(Duration.ofMillis(700), () -> handler.accept(FakeStore.failed()));
            return;
        }
        store.call(request, result -> answers.add(() -> handler.accept(result)));
    }

    private static final class OnePartition implements OwnershipScope {

        @Override
        public SortedSet<PartitionId> partitions() {
            return new TreeSet<>(List.of(PARTITION));
        }

        @Override
        public boolean eligible(Member member) {
            return true;
        }
    }

    private static final class NoListener implements OwnershipListener {

        @Override
        public void gained(PartitionId partition, long epoch) {
            // Only the guard is of interest here.
        }

        @Override
        public void lost(PartitionId partition) {
            // Only the guard is of interest here.
        }

        @Override
        public void handOver(PartitionId partition, Runnable done) {
            done.run();
        }
    }
}
