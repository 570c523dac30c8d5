package org.flamingopitch.coordination.journal;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.loop.TimerQueue;
import org.flamingopitch.coordination.ownership.FakeStore;

/**
 * Each record that was reported durable is replayed by later owners, also when requests or answers are lost and an
 * earlier owner continues to write.
 */
final class JournalTest {

    private static final String PREFIX = "journal/";

    private static final JournalSettings SETTINGS = new JournalSettings(
            Duration.ofMillis(100),
            Duration.ofMillis(250),
            Duration.ofMillis(250),
            400,
            5,
            Duration.ofSeconds(4),
            Duration.ofSeconds(2));

    @Property(tries = 300, seed = "20260105")
    void laterOwnerReplaysAllDurableRecordsWhenCallsAreLost(
            @ForAll long seed, @ForAll @IntRange(max = 60) int lossPercent) {
        SplittableRandom random = new SplittableRandom(seed);
        FakeStore store = new FakeStore();
        Set<Integer> durable = new LinkedHashSet<>();
        Owner current = new Owner(store, random, lossPercent, 1, durable);
        Owner former = current;
        int epoch = 1;
        for (int i = 0; i < 120; i++) {
            current.append(i);
            // Numbers from 10,000 are records of the earlier owner, which the last assertion leaves out.
            former.append(10_000 + i);
            store.advance(Duration.ofMillis(random.nextInt(200)));
            current.runDueTimers();
            former.runDueTimers();
            if (random.nextInt(20) == 0) {
                epoch++;
                former = current;
                current = new Owner(store, random, lossPercent, epoch, durable);
            }
        }
        Owner last = new Owner(store, random, 0, epoch + 1, durable);
        for (int i = 0; i < 50; i++) {
            store.advance(Duration.ofMillis(100));
            last.runDueTimers();
        }
        assertThat(last.journal.ready()).isTrue();
        assertThat(last.numbers)
                .containsAll(durable.stream().filter(number -> number < 10_000).toList());
    }

    @Example
    void ownerThatRecoversAfterALaterEpochIsFenced() {
        FakeStore store = new FakeStore();
        Set<Integer> durable = new LinkedHashSet<>();
        SplittableRandom random = new SplittableRandom(1);
        Owner current = new Owner(store, random, 0, 3, durable);
        Owner delayed = new Owner(store, random, 0, 2, durable);
        current.append(1);
        store.advance(Duration.ofSeconds(1));
        current.runDueTimers();
        assertThat(durable).containsExactly(1);
        assertThat(current.fenced).isFalse();
        assertThat(delayed.fenced).isTrue();
    }

    @Example
    void ownerThatWritesAfterItsSuccessorRecoveredIsFenced() {
        FakeStore store = new FakeStore();
        Set<Integer> durable = new LinkedHashSet<>();
        SplittableRandom random = new SplittableRandom(1);
        Owner former = new Owner(store, random, 0, 1, durable);
        new Owner(store, random, 0, 2, durable);
        former.append(1);
        store.advance(Duration.ofSeconds(1));
        former.runDueTimers();
        assertThat(durable).isEmpty();
        assertThat(former.fenced).isTrue();
    }

    /** The records that the test writes. */
    sealed interface TestRecord {

        /**
         * A number.
         *
         * @param number the number
         */
        record Number(int number) implements TestRecord {}
    }

    private static final class Owner implements LoopContext, JournalState<TestRecord> {

        private final FakeStore store;

        private final SplittableRandom random;

        private final int lossPercent;

        private final Set<Integer> durable;

        private final TimerQueue timers = new TimerQueue();

        private final Set<Integer> numbers = new LinkedHashSet<>();

        private final Journal<TestRecord> journal;

        private boolean fenced;

        private Owner(FakeStore store, SplittableRandom random, int lossPercent, long epoch, Set<Integer> durable) {
            this.store = store;
            this.random = random;
            this.lossPercent = lossPercent;
            this.durable = durable;
            JsonCodec codec = new JsonCodec(new JsonFactory(), TestRecord.class);
            this.journal = new Journal<>(this, PREFIX, "owner", epoch, SETTINGS, codec, TestRecord.class, this);
            journal.recover(() -> {});
        }

        private void append(int number) {
            if (journal.ready()) {
                journal.append(new TestRecord.Number(number), () -> {
                    durable.add(number);
                    numbers.add(number);
                });
            }
        }

        private void runDueTimers() {
            timers.runDue(store.now());
        }

        @Override
        public Instant now() {
            return store.now();
        }

        @Override
        public void schedule(Duration delay, Runnable action) {
            timers.add(now().plus(delay), action);
        }

        @Override
        public void callStore(KeyValueRequest request, Consumer<KeyValueResult> handler) {
            boolean requestLost = random.nextInt(100) < lossPercent / 2;
            boolean answerLost = random.nextInt(100) < lossPercent / 2;
            List<KeyValueResult> results = new ArrayList<>();
            if (!requestLost) {
                store.call(request, results::add);
            }
            boolean lost = requestLost || answerLost;
            handler.accept(lost ? FakeStore.failed() : results.get(0));
        }

        @Override
        public void replay(TestRecord record) {
            numbers.add(((TestRecord.Number) record).number());
        }

        @Override
        public List<TestRecord> snapshot() {
            return numbers.stream()
                    .map(number -> (TestRecord) new TestRecord.Number(number))
                    .toList();
        }

        @Override
        public void onEpochStart() {
            // The state does not depend on which owner wrote a number.
        }

        @Override
        public void onFenced() {
            fenced = true;
        }
    }
}
