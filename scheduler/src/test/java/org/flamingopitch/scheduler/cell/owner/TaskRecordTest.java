package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import org.flamingopitch.coordination.api.JsonCodec;
import org.junit.jupiter.api.Test;

/** A successor restores from a task's record what it needs to attribute crashes. */
final class TaskRecordTest {

    private final Task task = OwnerFixtures.task(
            OwnerFixtures.job("j", OwnerFixtures.bestEffortStep("i", 1, 1_000, 60_000), OwnerFixtures.NOW));

    private static TaskRecord decode(String value) {
        return JsonCodec.compact().decode(value, TaskRecord.class);
    }

    @Test
    void recordOfAnOpenRunKeepsItsWorkersAddressAndIncarnationAndTheCrashedRuns() {
        task.addCrash(1, true);
        task.addCrash(2, false);
        WorkerState worker = OwnerFixtures.worker("w", 16_000);
        worker.recordAddress("10.0.0.1:80");
        task.place(worker, OwnerFixtures.NOW);
        TaskRecord decoded = decode(JsonCodec.compact().encode(TaskRecord.of(task)));
        assertThat(decoded).isEqualTo(TaskRecord.of(task));
        assertThat(decoded.address()).isEqualTo("10.0.0.1:80");
        assertThat(decoded.incarnation()).isEqualTo(1);
        assertThat(decoded.crashedRuns()).containsExactly(1);
        assertThat(decoded.possiblyCrashedRuns()).containsExactly(2);
    }

    @Test
    void recordWithoutARunHasNoAddress() {
        task.restoreLastRunNumber(2);
        String encoded = JsonCodec.compact().encode(TaskRecord.of(task));
        assertThat(encoded).doesNotContain("address", "incarnation", "crashedRuns");
    }

    @Test
    void recordOfAnEarlierVersionIsRead() {
        TaskRecord decoded = decode("{\"index\":3,\"run\":2,\"worker\":\"w\",\"failedRuns\":[1]}");
        assertThat(decoded.failedRuns()).containsExactly(1);
        assertThat(decoded.crashedRuns()).isEmpty();
        assertThat(decoded.address()).isNull();
        assertThat(decoded.incarnation()).isZero();
    }

    private static Run restore(Task restored, TaskRecord record, WorkerState worker) {
        restored.restoreLastRunNumber(record.run());
        Run run = restored.restoreRun(worker, record.run(), OwnerFixtures.NOW);
        worker.add(run);
        return run;
    }

    /** A successor that knew one run only would start the task anew when that one ends. */
    @Test
    void recordOfATaskWithACopyNamesBothRuns() {
        Task copied = OwnerFixtures.task(OwnerFixtures.job("j", OwnerFixtures.speculativeStep(), OwnerFixtures.NOW));
        OwnerFixtures.run(copied, OwnerFixtures.worker("w1", 16_000), 1);
        copied.place(OwnerFixtures.worker("w2", 16_000), OwnerFixtures.NOW);
        TaskRecord decoded = decode(JsonCodec.compact().encode(TaskRecord.of(copied)));
        assertThat(decoded).isEqualTo(TaskRecord.of(copied));
        assertThat(decoded.run()).isEqualTo(2);
        assertThat(decoded.worker().value()).isEqualTo("w2");
        assertThat(decoded.earlier().run()).isEqualTo(1);
        assertThat(decoded.earlier().worker().value()).isEqualTo("w1");
    }

    /** The number of the first run must not become that of the copy, or its worker's report would not match. */
    @Test
    void recordOfATaskWhoseCopyHasEndedNamesTheFirstRunByItsNumber() {
        Task copied = OwnerFixtures.task(OwnerFixtures.job("j", OwnerFixtures.speculativeStep(), OwnerFixtures.NOW));
        OwnerFixtures.run(copied, OwnerFixtures.worker("w1", 16_000), 1);
        copied.place(OwnerFixtures.worker("w2", 16_000), OwnerFixtures.NOW).release(OwnerFixtures.NOW);
        TaskRecord record = TaskRecord.of(copied);
        assertThat(record.run()).isEqualTo(2);
        assertThat(record.worker()).isNull();
        assertThat(record.earlier().run()).isEqualTo(1);
    }

    @Test
    void restoredRunsAreInTheOrderOfTheirNumbers() {
        Run later = restore(task, decode("{\"run\":2,\"worker\":\"w\"}"), OwnerFixtures.worker("w2", 16_000));
        Run earlier = restore(task, decode("{\"run\":1,\"worker\":\"w\"}"), OwnerFixtures.worker("w1", 16_000));
        assertThat(task.run()).isEqualTo(earlier);
        assertThat(task.copy()).isEqualTo(later);
        assertThat(task.lastRunNumber()).isEqualTo(2);
    }
}
