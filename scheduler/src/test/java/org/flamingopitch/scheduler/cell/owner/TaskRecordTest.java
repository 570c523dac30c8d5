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
}
