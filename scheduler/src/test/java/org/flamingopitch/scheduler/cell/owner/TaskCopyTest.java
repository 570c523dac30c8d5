package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.model.WorkerId;
import org.junit.jupiter.api.Test;

/** Guards the rule that a task has a second run only where its step permits it, whatever code asks for one. */
final class TaskCopyTest {

    private final WorkerState worker = OwnerFixtures.worker("w1", 16_000);

    private final WorkerState otherWorker = OwnerFixtures.worker("w2", 16_000);

    private Task running(StepSpec step) {
        Task task = OwnerFixtures.task(OwnerFixtures.job("j", step, OwnerFixtures.NOW));
        OwnerFixtures.run(task, worker, 1);
        return task;
    }

    private void assertNoSecondRun(Task task, WorkerState place) {
        assertThatThrownBy(() -> task.place(place, OwnerFixtures.NOW)).isInstanceOf(IllegalStateException.class);
        assertThat(task.runs()).hasSize(1);
        assertThat(task.lastRunNumber()).isEqualTo(1);
    }

    @Test
    void taskWithoutTheFlagGetsNoSecondRun() {
        assertNoSecondRun(running(OwnerFixtures.copyStep(false, false, false)), otherWorker);
    }

    @Test
    void longRunningOrBestEffortTaskGetsNoSecondRun() {
        assertNoSecondRun(running(OwnerFixtures.copyStep(true, true, false)), otherWorker);
        assertNoSecondRun(running(OwnerFixtures.copyStep(true, false, true)), otherWorker);
    }

    /** A copy on another rack would slow all tasks of the group. */
    @Test
    void taskOfAGroupGetsNoSecondRun() {
        StepSpec plain = OwnerFixtures.speculativeStep();
        StepSpec group = new StepSpecBuilder()
                .demand(plain.demand())
                .estimateMillis(plain.estimateMillis())
                .checkpointing(true)
                .sameRack(true)
                .speculative(true)
                .image("i")
                .build();
        assertNoSecondRun(running(group), otherWorker);
    }

    @Test
    void copyDoesNotShareTheWorkerOfTheFirstRun() {
        assertNoSecondRun(running(OwnerFixtures.speculativeStep()), worker);
    }

    @Test
    void taskHasAtMostOneCopy() {
        Task task = running(OwnerFixtures.speculativeStep());
        Run copy = task.place(otherWorker, OwnerFixtures.NOW);
        assertThat(task.copy()).isEqualTo(copy);
        assertThatThrownBy(() -> task.place(OwnerFixtures.worker("w3", 16_000), OwnerFixtures.NOW))
                .isInstanceOf(IllegalStateException.class);
    }

    @Test
    void runWhoseStartIsUnansweredOrThatIsStoppedGetsNoCopy() {
        Task task = running(OwnerFixtures.speculativeStep());
        task.run().enterPhase(RunPhase.STOPPING, OwnerFixtures.NOW);
        assertNoSecondRun(task, otherWorker);
        Task started = OwnerFixtures.task(OwnerFixtures.job("k", OwnerFixtures.speculativeStep(), OwnerFixtures.NOW));
        started.place(worker, OwnerFixtures.NOW).enterPhase(RunPhase.SENT, OwnerFixtures.NOW);
        assertNoSecondRun(started, otherWorker);
    }

    /** Both runs may fail, and the platform counts each against the attempts that the queue permits. */
    @Test
    void copyThatCouldExceedTheAttemptsIsNotStarted() {
        Task task = running(OwnerFixtures.speculativeStep());
        task.addFailure(0, new WorkerId("w9"));
        assertThat(task.copyable()).isTrue();
        task.addFailure(-1, new WorkerId("w9"));
        assertNoSecondRun(task, otherWorker);
    }

    @Test
    void taskThatMayHaveCrashedAWorkerGetsNoCopy() {
        Task task = running(OwnerFixtures.speculativeStep());
        task.addCrash(0, true);
        assertNoSecondRun(task, otherWorker);
    }

    @Test
    void taskDoesNotWaitWhileOneOfTwoRunsIsOpen() {
        Task task = running(OwnerFixtures.speculativeStep());
        Run first = task.run();
        Run copy = task.place(otherWorker, OwnerFixtures.NOW);
        first.release(OwnerFixtures.NOW);
        assertThat(task.run()).isEqualTo(copy);
        assertThat(task.copy()).isNull();
        assertThat(task.waiting(OwnerFixtures.NOW)).isFalse();
        copy.release(OwnerFixtures.NOW);
        assertThat(task.waiting(OwnerFixtures.NOW)).isTrue();
    }

    /** A slow run must not set the task back behind the checkpoint of the faster one. */
    @Test
    void checkpointOfTheRunThatIsBehindIsIgnored() {
        Task task = running(OwnerFixtures.speculativeStep());
        task.run().observe(60, 1, OwnerFixtures.NOW);
        Run copy = task.place(otherWorker, OwnerFixtures.NOW);
        task.updateCheckpoint(task.run(), "far");
        copy.observe(20, 1, OwnerFixtures.NOW);
        task.updateCheckpoint(copy, "near");
        assertThat(task.checkpoint()).isEqualTo("far");
        copy.observe(80, 1, OwnerFixtures.NOW);
        task.updateCheckpoint(copy, "farther");
        assertThat(task.checkpoint()).isEqualTo("farther");
    }

    /** After a takeover or from a checkpoint, the progress before the first report says nothing about the speed. */
    @Test
    void speedIsMeasuredFromTheFirstReportOfARunOfUnknownBegin() {
        Task task = OwnerFixtures.task(OwnerFixtures.job("j", OwnerFixtures.speculativeStep(), OwnerFixtures.NOW));
        Run run = task.restoreRun(worker, 1, OwnerFixtures.NOW);
        run.observe(60, 1, OwnerFixtures.NOW.plusMillis(10));
        assertThat(run.progress(OwnerFixtures.NOW.plusMillis(20)).gainedPercent())
                .isZero();
        run.observe(70, 1, OwnerFixtures.NOW.plusMillis(1_010));
        assertThat(run.progress(OwnerFixtures.NOW.plusMillis(1_020)).gainedPercent())
                .isEqualTo(10);
        assertThat(run.progress(OwnerFixtures.NOW.plusMillis(1_020)).gainedMillis())
                .isEqualTo(1_000);
    }
}
