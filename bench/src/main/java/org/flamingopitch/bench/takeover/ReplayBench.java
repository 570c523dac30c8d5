package org.flamingopitch.bench.takeover;

import com.fasterxml.jackson.core.JsonFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.flamingopitch.bench.cli.Bench;
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

/** Writes a journal of many running tasks, reads it back as a successor does, and times that. */
public final class ReplayBench implements Bench {

    private static final int DEFAULT_TASKS = 10_000;

    private static final int ROUNDS = 8;

    private static final int RECORDS_PER_COMMIT = 100;

    private static final String PREFIX = "journal/";

    private final TimeSource clock = new SystemTimeSourceClock();

    @Override
    public void run(CommandLine line) {
        int tasks = Bench.number(line, "tasks", DEFAULT_TASKS);
        for (int part : new int[] {tasks / 10, tasks / 2, tasks}) {
            measure(part);
        }
    }

    private void measure(int tasks) {
        MemoryStore store = new MemoryStore();
        Journal<ShardRecord> journal = journal(store, "writer", 1, new CountingState());
        journal.recover(() -> {});
        for (int i = 0; i < tasks; i++) {
            IdempotencyKey key = new IdempotencyKey("job-" + i);
            Payload payload = Payload.ofText("{\"page\":" + i + "}");
            journal.append(new ShardRecord.JobSubmitted(key, new KindName("render"), payload, store.now()), () -> {});
            journal.append(new ShardRecord.AttemptPlanned(key, 1, new PartitionId("centre/rack-1")), () -> {});
            if (i % RECORDS_PER_COMMIT == 0) {
                store.advance(Duration.ofMillis(200));
            }
        }
        while (!journal.allDurable()) {
            store.advance(Duration.ofMillis(200));
        }
        CallCounts written = store.model().counts();
        long best = Long.MAX_VALUE;
        for (int round = 0; round < ROUNDS; round++) {
            best = Math.min(best, replayMillis(store, round + 2, tasks));
        }
        System.out.printf(
                Locale.ROOT,
                "%d tasks: %d writes, %.0f characters a task, replayed in %d ms (best of %d)%n",
                tasks,
                written.writes(),
                written.bytesWritten() / (double) tasks,
                best,
                ROUNDS);
    }

    private long replayMillis(MemoryStore store, int epoch, int tasks) {
        CountingState state = new CountingState();
        Instant before = clock.now();
        journal(store, "reader", epoch, state).recover(() -> {});
        long millis = Duration.between(before, clock.now()).toMillis();
        if (state.records.size() != 2 * tasks) {
            throw new IllegalStateException("replayed " + state.records.size() + " records of " + 2 * tasks);
        }
        return millis;
    }

    private static Journal<ShardRecord> journal(
            MemoryStore store, String owner, long epoch, JournalState<ShardRecord> state) {
        JsonCodec codec = new JsonCodec(new JsonFactory(), ShardRecord.class, Outcome.class);
        return new Journal<>(store, PREFIX, owner, epoch, JournalSettings.defaults(), codec, ShardRecord.class, state);
    }

    private static final class CountingState implements JournalState<ShardRecord> {

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
            // The records are the same whoever wrote them.
        }

        @Override
        public void onFenced() {
            throw new IllegalStateException("fenced");
        }
    }
}
