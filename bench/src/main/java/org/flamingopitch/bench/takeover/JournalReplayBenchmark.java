package org.flamingopitch.bench.takeover;

import com.fasterxml.jackson.core.JsonFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.flamingopitch.bench.cli.Benchmark;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.coordination.journal.Journal;
import org.flamingopitch.coordination.journal.JournalSettings;
import org.flamingopitch.coordination.journal.JournalState;
import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.shard.ShardRecord;
import org.flamingopitch.standins.kv.CallCounts;

/** Measures the time that a new owner takes to replay the journal of a shard with many running tasks. */
public final class JournalReplayBenchmark implements Benchmark {

    private static final int DEFAULT_TASKS = 10_000;

    private static final int REPLAY_COUNT = 8;

    private static final int TASKS_PER_COMMIT = 100;

    private static final String KEY_PREFIX = "journal/";

    private final TimeSource clock = new SystemTimeSourceClock();

    @Override
    public void run(CommandLine commandLine) {
        int tasks = Benchmark.intOption(commandLine, "tasks", DEFAULT_TASKS);
        for (int taskCount : new int[] {tasks / 10, tasks / 2, tasks}) {
            measure(taskCount);
        }
    }

    private void measure(int tasks) {
        InMemoryKeyValueStore store = new InMemoryKeyValueStore();
        Journal<ShardRecord> journal = openJournal(store, "writer", 1, new RecordList());
        journal.recover(() -> {});
        for (int i = 0; i < tasks; i++) {
            IdempotencyKey key = new IdempotencyKey("job-" + i);
            Payload payload = Payload.ofText("{\"page\":" + i + "}");
            journal.append(new ShardRecord.JobSubmitted(key, new KindName("render"), payload, store.now()), () -> {});
            journal.append(new ShardRecord.AttemptPlanned(key, 1, new PartitionId("centre/rack-1")), () -> {});
            if (i % TASKS_PER_COMMIT == 0) {
                store.advance(Duration.ofMillis(200));
            }
        }
        while (!journal.allDurable()) {
            store.advance(Duration.ofMillis(200));
        }
        CallCounts callCounts = store.model().counts();
        long bestMillis = Long.MAX_VALUE;
        for (int round = 0; round < REPLAY_COUNT; round++) {
            bestMillis = Math.min(bestMillis, measureReplayMillis(store, round + 2, tasks));
        }
        System.out.printf(
                Locale.ROOT,
                "%d tasks: %d writes, %.0f characters per task, replayed in %d ms (best of %d)%n",
                tasks,
                callCounts.writes(),
                callCounts.bytesWritten() / (double) tasks,
                bestMillis,
                REPLAY_COUNT);
    }

    private long measureReplayMillis(InMemoryKeyValueStore store, int epoch, int tasks) {
        RecordList state = new RecordList();
        Instant start = clock.now();
        openJournal(store, "reader", epoch, state).recover(() -> {});
        long millis = Duration.between(start, clock.now()).toMillis();
        if (state.records.size() != 2 * tasks) {
            throw new IllegalStateException("replayed " + state.records.size() + " records, expected " + 2 * tasks);
        }
        return millis;
    }

    private static Journal<ShardRecord> openJournal(
            InMemoryKeyValueStore store, String owner, long epoch, JournalState<ShardRecord> state) {
        JsonCodec codec = new JsonCodec(new JsonFactory(), ShardRecord.class, Outcome.class);
        return new Journal<>(
                store, KEY_PREFIX, owner, epoch, JournalSettings.defaults(), codec, ShardRecord.class, state);
    }

    private static final class RecordList implements JournalState<ShardRecord> {

        private final List<ShardRecord> records = new ArrayList<>();

        @Override
        public void replay(ShardRecord record) {
            records.add(record);
        }

        @Override
        public List<ShardRecord> snapshot() {
            return List.copyOf(records);
        }

        @Override
        public void onEpochStart() {
            // The replayed records do not depend on the owner that wrote them.
        }

        @Override
        public void onFenced() {
            throw new IllegalStateException("journal write rejected because of a newer fencing token");
        }
    }
}
