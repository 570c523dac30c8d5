package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.scheduler.cell.disruption.Evacuations;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.junit.jupiter.api.Test;

/** The records of a job with many tasks must let a successor restore every task, whichever of them are stored. */
final class JobChangeTest {

    private static final int TASKS = 40 * Job.TASKS_PER_PART;

    private final Job job =
            OwnerFixtures.job("j", OwnerFixtures.bestEffortStep("i", TASKS, 10, 1_000), OwnerFixtures.NOW);

    private final WorkerState worker = OwnerFixtures.worker("w", 16_000);

    private Task task(int index) {
        return job.step(0, 0).tasks().get(index);
    }

    private static TransactionBuilder moveOnce(JobChange change) {
        TransactionBuilder transaction = new TransactionBuilder();
        change.moveTo(transaction);
        return transaction;
    }

    private static List<String> keys(TransactionBuilder transaction) {
        return transaction.records().stream().map(PendingRecord::key).toList();
    }

    private Job restore(Map<Integer, ProgressRecord> parts) {
        WorkerRegistry registry =
                new WorkerRegistry(null, 1, Duration.ofSeconds(6), OwnerFixtures.NOW, new Evacuations(), null);
        JobRecord definition = new JobRecord(job.queue(), job.submittedMillis(), job.spec());
        return JobTable.restore(new JobId("j"), definition, parts, registry, OwnerFixtures.NOW, 0);
    }

    private static ProgressRecord decode(String value) {
        return JsonCodec.compact().decode(value, ProgressRecord.class);
    }

    @Test
    void changeOfOneTaskWritesOnlyItsPart() {
        job.markDefinitionStored();
        job.markPartStored(0);
        job.markPartStored(3);
        task(3 * Job.TASKS_PER_PART).place(worker, OwnerFixtures.NOW);
        JobChange change = new JobChange(job, 1);
        change.addTask(task(3 * Job.TASKS_PER_PART));
        assertThat(keys(moveOnce(change))).containsExactly(CellKeys.progress(job.id(), 3));
    }

    /** A host that reads only the first part would show the job as queued. */
    @Test
    void firstStartInALaterPartIsAlsoVisibleInTheFirstPart() {
        job.markDefinitionStored();
        task(Job.TASKS_PER_PART).place(worker, OwnerFixtures.NOW);
        JobChange change = new JobChange(job, 1);
        change.addTask(task(Job.TASKS_PER_PART));
        TransactionBuilder transaction = moveOnce(change);
        assertThat(keys(transaction)).containsExactly(CellKeys.progress(job.id()), CellKeys.progress(job.id(), 1));
        assertThat(StoredProgress.state(transaction.records().get(0).value())).isEqualTo(JobState.RUNNING);
    }

    /** If a part were emptied first, a successor that saw no end would start its done tasks again. */
    @Test
    void endOfAJobIsWrittenBeforeItsLaterPartsAreDeleted() {
        job.markDefinitionStored();
        for (int part = 0; part < 40; part++) {
            job.markPartStored(part);
        }
        job.step(0, 0).tasks().forEach(Task::markDone);
        job.end(JobState.DONE, OwnerFixtures.NOW);
        JobChange change = new JobChange(job, 1);
        change.addState(job);
        TransactionBuilder first = new TransactionBuilder();
        assertThat(change.moveTo(first)).isEqualTo(JobChange.Moved.PART);
        assertThat(first.records()).hasSize(TransactionBuilder.MAX_RECORDS);
        assertThat(first.records().get(0).key()).isEqualTo(CellKeys.progress(job.id()));
        assertThat(first.records().get(0).value()).contains("DONE");
        assertThat(first.records().subList(1, first.records().size()))
                .extracting(PendingRecord::value)
                .containsOnlyNulls();
        TransactionBuilder second = new TransactionBuilder();
        assertThat(change.moveTo(second)).isEqualTo(JobChange.Moved.ALL);
        assertThat(job.storedParts().stream().boxed()).containsExactly(0);
    }

    /** Records without their definition could not be found and deleted by a successor. */
    @Test
    void definitionIsDeletedWithTheLastRecords() {
        for (int part = 0; part < 40; part++) {
            job.markPartStored(part);
        }
        JobChange change = new JobChange(job, 1);
        change.delete();
        assertThat(keys(moveOnce(change))).doesNotContain(CellKeys.job(job.id()), CellKeys.progress(job.id()));
        assertThat(keys(moveOnce(change))).contains(CellKeys.job(job.id()), CellKeys.progress(job.id()));
    }

    /** An earlier version stored all tasks in one record, which the first write of the first part replaces. */
    @Test
    void tasksThatAnEarlierVersionStoredInTheFirstPartAreWrittenToTheirPartsBeforeItIsReplaced() {
        int index = 2 * Job.TASKS_PER_PART + 5;
        ProgressRecord earlier =
                decode("{\"tasks\":[{\"index\":1,\"run\":1},{\"index\":" + index + ",\"done\":true,\"run\":4}]}");
        Job restored = restore(Map.of(0, earlier));
        assertThat(restored.step(0, 0).tasks().get(index).done()).isTrue();
        JobChange change = new JobChange(restored, 1);
        change.addState(restored);
        TransactionBuilder transaction = moveOnce(change);
        assertThat(keys(transaction)).containsExactly(CellKeys.progress(job.id(), 2), CellKeys.progress(job.id()));
        Map<Integer, ProgressRecord> stored = new TreeMap<>();
        stored.put(2, decode(transaction.records().get(0).value()));
        stored.put(0, decode(transaction.records().get(1).value()));
        Job again = restore(stored);
        assertThat(again.step(0, 0).tasks().get(index).done()).isTrue();
        assertThat(again.step(0, 0).tasks().get(index).lastRunNumber()).isEqualTo(4);
        assertThat(again.step(0, 0).tasks().get(1).lastRunNumber()).isEqualTo(1);
    }

    /** The record in a task's own part is newer than one that an earlier version left in the first part. */
    @Test
    void recordInATasksOwnPartPrecedesThatInTheFirstPart() {
        int index = Job.TASKS_PER_PART + 1;
        Map<Integer, ProgressRecord> stored = new TreeMap<>();
        stored.put(0, decode("{\"tasks\":[{\"index\":" + index + ",\"run\":1,\"worker\":\"w\"}]}"));
        stored.put(1, decode("{\"tasks\":[{\"index\":" + index + ",\"done\":true,\"run\":1}]}"));
        Task restored = restore(stored).step(0, 0).tasks().get(index);
        assertThat(restored.done()).isTrue();
        assertThat(restored.run()).isNull();
    }
}
