package org.flamingopitch.coordination.example;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.config.ConfigService;
import org.flamingopitch.coordination.journal.Journal;
import org.flamingopitch.coordination.journal.JournalSettings;
import org.flamingopitch.coordination.journal.JournalState;
import org.flamingopitch.coordination.kv.StoreWatcher;
import org.flamingopitch.coordination.lease.LeaseGuard;
import org.flamingopitch.coordination.limit.RetryBudget;
import org.flamingopitch.coordination.limit.TokenBucket;
import org.flamingopitch.coordination.membership.LeaseTimings;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.coordination.membership.MembershipService;
import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.coordination.once.IdempotencyTable;
import org.flamingopitch.coordination.ownership.FakeStore;
import org.flamingopitch.coordination.ownership.OwnershipGroup;
import org.flamingopitch.coordination.ownership.OwnershipListener;
import org.flamingopitch.coordination.ownership.OwnershipScope;
import org.flamingopitch.coordination.ownership.PeerKnowledge;
import org.junit.jupiter.api.Test;

/** Examples of using each coordination component on its own, without the scheduler. */
final class EmbeddingTest {

    private final FakeStore store = new FakeStore();

    private final ExampleContext context = new ExampleContext(store);

    @Test
    void leaseGuardIsValidUntilItsMarginBeforeLeaseEnd() {
        LeaseGuard guard = new LeaseGuard(Duration.ofMillis(200));
        guard.extend(context.now(), Duration.ofMillis(2_400));
        assertThat(guard.validAt(context.now().plusMillis(2_199))).isTrue();
        assertThat(guard.validAt(context.now().plusMillis(2_200))).isFalse();
    }

    @Test
    void singleMemberGainsAllPartitions() {
        LeaseTimings timings = LeaseTimings.defaults();
        Member self = new Member(new ProcessId("process-1"), "centre", "region", "10.0.0.1:7000", false);
        StoreWatcher watcher = new StoreWatcher(context, "app/");
        MembershipService membership = new MembershipService(context, watcher, timings, "app/members/", self);
        List<PartitionId> owned = new ArrayList<>();
        OwnershipGroup group = new OwnershipGroup(
                context,
                "partitions",
                "app/owners",
                watcher,
                membership,
                new PeerKnowledge(),
                timings,
                new TwoPartitions(),
                (peer, name, round) -> {},
                new OwnedPartitionRecorder(owned));
        watcher.start();
        membership.start();
        group.start();
        context.advance(Duration.ofSeconds(1));
        assertThat(owned).containsExactly(new PartitionId("a"), new PartitionId("b"));
        assertThat(group.active(new PartitionId("a"))).isTrue();
    }

    @Test
    void successorReplaysDurableRecords() {
        NoteListState state = new NoteListState();
        Journal<Note> journal = journal(1, state);
        List<String> durable = new ArrayList<>();
        journal.recover(() -> journal.append(new Note.Added("first"), () -> durable.add("first")));
        context.advance(Duration.ofSeconds(1));
        assertThat(durable).containsExactly("first");
        NoteListState successor = new NoteListState();
        journal(2, successor).recover(() -> {});
        context.advance(Duration.ofSeconds(1));
        assertThat(successor.texts).containsExactly("first");
    }

    @Test
    void callersWithTheSameKeyReceiveTheSameOutcome() {
        IdempotencyTable<String> table = new IdempotencyTable<>(Duration.ofHours(24));
        List<String> answers = new ArrayList<>();
        IdempotencyKey key = IdempotencyKey.issue(context.now(), 7);
        table.add(key, context.now()).whenFinished(answers::add);
        table.find(key).orElseThrow().whenFinished(answers::add);
        table.find(key).orElseThrow().finish("held");
        assertThat(answers).containsExactly("held", "held");
    }

    @Test
    void acceptedConfigurationReachesListener() {
        StoreWatcher watcher = new StoreWatcher(context, "app/");
        ConfigService<String> config =
                new ConfigService<>(context, watcher, "app/config", "process-1", document -> document);
        List<String> inForce = new ArrayList<>();
        config.addListener(inForce::add);
        watcher.start();
        config.propose("slots=8", 0, "ana", outcome -> {});
        context.advance(Duration.ofSeconds(1));
        assertThat(inForce).containsExactly("slots=8");
    }

    @Test
    void tokenBucketAndRetryBudgetRefuseAboveTheirLimits() {
        TokenBucket bucket = new TokenBucket(10, 1, context.now());
        assertThat(bucket.tryTake(1, context.now())).isTrue();
        assertThat(bucket.tryTake(1, context.now())).isFalse();
        assertThat(bucket.tryTake(1, context.now().plusMillis(100))).isTrue();
        RetryBudget budget = new RetryBudget(0.5, 1);
        assertThat(budget.tryRetry()).isTrue();
        assertThat(budget.tryRetry()).isFalse();
        budget.recordRequest();
        budget.recordRequest();
        assertThat(budget.tryRetry()).isTrue();
    }

    private Journal<Note> journal(long epoch, NoteListState state) {
        JsonCodec codec = new JsonCodec(new JsonFactory(), Note.class);
        JournalSettings settings = JournalSettings.defaults();
        return new Journal<>(context, "app/journal/", "process-" + epoch, epoch, settings, codec, Note.class, state);
    }

    /** The journal records of the example. */
    sealed interface Note {

        /**
         * A note was added.
         *
         * @param text the text of the note
         */
        record Added(String text) implements Note {}
    }

    private static final class NoteListState implements JournalState<Note> {

        private final List<String> texts = new ArrayList<>();

        @Override
        public void replay(Note record) {
            texts.add(((Note.Added) record).text());
        }

        @Override
        public List<Note> snapshot() {
            return texts.stream().map(text -> (Note) new Note.Added(text)).toList();
        }

        @Override
        public void onEpochStart() {
            // The state does not depend on which owner wrote a note.
        }

        @Override
        public void onFenced() {
            texts.clear();
        }
    }

    private record OwnedPartitionRecorder(List<PartitionId> ownedPartitions) implements OwnershipListener {

        @Override
        public void gained(PartitionId partition, long epoch) {
            ownedPartitions.add(partition);
        }

        @Override
        public void lost(PartitionId partition) {
            ownedPartitions.remove(partition);
        }

        @Override
        public void handOver(PartitionId partition, Runnable done) {
            done.run();
        }
    }

    private static final class TwoPartitions implements OwnershipScope {

        @Override
        public SortedSet<PartitionId> partitions() {
            return new TreeSet<>(List.of(new PartitionId("a"), new PartitionId("b")));
        }

        @Override
        public boolean eligible(Member member) {
            return true;
        }
    }
}
