package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.flamingopitch.scheduler.cell.RecordedLog;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.cell.port.OwnerMetrics;
import org.flamingopitch.scheduler.cell.port.ServiceCores;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Without these lines nobody can tell why a job has nothing at work although a task of it may start. */
final class IdleJobLoggerTest {

    private static final Instant NOW = OwnerFixtures.NOW;

    private static final Instant LATER = NOW.plusSeconds(3);

    private final RecordedIdleTime metrics = new RecordedIdleTime();

    private final PlacementPolicy placementPolicy =
            new PlacementPolicy(new WorkerHealth(), new InterferenceEstimator());

    private final WorkerState worker = OwnerFixtures.worker("w", 16_000);

    private final WorkerState silent = OwnerFixtures.worker("silent", 16_000);

    private final IdleJobLogger logger = new IdleJobLogger(placementPolicy, metrics, Instant.MIN);

    private final RecordedLog log = new RecordedLog(IdleJobLogger.class);

    @AfterEach
    void stopRecording() {
        log.close();
    }

    private void log(Instant now, Job... jobs) {
        log(logger, now, jobs);
    }

    private void log(IdleJobLogger target, Instant now, Job... jobs) {
        target.logIfDue(
                List.of(jobs),
                List.of(worker, silent),
                each -> each == silent ? PlacementObstacle.NOT_ANSWERING : PlacementObstacle.NONE,
                each -> each != silent,
                true,
                now.toEpochMilli(),
                now);
    }

    private static StepSpecBuilder step(int count) {
        return new StepSpecBuilder().count(count).demand(new Resources(2_000, 10, 0));
    }

    private static Job job(String id, StepSpec step, Instant submittedAt) {
        return OwnerFixtures.job(id, step, submittedAt);
    }

    private static Job idleJob() {
        return job("j", step(1).build(), NOW);
    }

    @Test
    void lineSaysWhatTheTaskNeedsAndWhatKeepsItOffTheWorkers() {
        Job service = job("s", OwnerFixtures.latencyCriticalStep("s", 4_000, 40), NOW);
        OwnerFixtures.run(OwnerFixtures.task(service), silent, 16);
        log(LATER, job("j", step(9).estimateMillis(1_000).requiredLabel("gpu").build(), NOW));
        assertThat(log.lines())
                .containsExactly("event=job_idle job=j task=j.0.0.0 idle_ms=3000 idle_jobs=1 state=waiting kind=short "
                        + "cores=2.0 memory=10 accelerators=0 label=gpu width=9 reserved_cores=4 running_cores=4 cores_total=32 "
                        + "expired=false placing=true not_answering=1 not_permitted=1");
    }

    /** The platform counts what is in use; without the difference nobody can tell whether it saw the service as full. */
    @Test
    void coresOfRunsThatNoAnswerHasShownAreNotInUse() {
        OwnerFixtures.run(startedTask("running", 1_000), worker, 16);
        OwnerFixtures.run(startedTask("silent", 2_000), silent, 16);
        OwnerFixtures.run(startedTask("stopping", 3_000), worker, 16).enterPhase(RunPhase.STOPPING, NOW);
        worker.add(startedTask("planned", 4_000).place(worker, NOW));
        Run sent = startedTask("sent", 5_000).place(worker, NOW);
        worker.add(sent);
        sent.enterPhase(RunPhase.SENT, NOW);
        log(LATER, idleJob());
        assertThat(log.lines())
                .singleElement()
                .asString()
                .contains(" reserved_cores=15 running_cores=6 cores_total=32 ");
        assertThat(metrics.services)
                .containsExactly(new ServiceCores(OwnerFixtures.queue().service(), 32_000, 15_000, 6_000));
    }

    private static Task startedTask(String id, long milliCores) {
        return OwnerFixtures.task(job(id, OwnerFixtures.latencyCriticalStep("s", milliCores, 40), NOW));
    }

    @Test
    void kindsOfTasksAreToldApart() {
        log(
                LATER,
                job("l", step(1).lasting(true).build(), NOW),
                job("b", step(1).fills(true).build(), NOW));
        assertThat(log.lines()).hasSize(2);
        assertThat(log.lines().get(0)).contains("job=l ").contains(" kind=long_running ");
        assertThat(log.lines().get(1)).contains("job=b ").contains(" kind=best_effort ");
    }

    @Test
    void jobWithARunAtWorkIsNotIdleWhateverWaits() {
        Job job = job("j", step(3).build(), NOW);
        OwnerFixtures.run(job.step(0, 0).tasks().get(1), worker, 0);
        OwnerFixtures.run(job.step(0, 0).tasks().get(2), silent, 0);
        log(NOW.plusSeconds(60), job);
        assertThat(log.lines()).isEmpty();
    }

    /** Creates the only open run of the job, which is not at work. */
    private void placeInactiveRun(Job job, IdleJob.Inactivity inactivity) {
        Task task = OwnerFixtures.task(job);
        switch (inactivity) {
            case PLANNED -> worker.add(task.place(worker, NOW));
            case UNREPORTED -> {
                Run run = task.place(worker, NOW);
                worker.add(run);
                run.enterPhase(RunPhase.SENT, NOW);
            }
            case SILENT -> OwnerFixtures.run(task, silent, 0);
            case STOPPING -> OwnerFixtures.run(task, worker, 0).enterPhase(RunPhase.STOPPING, NOW);
            case PAUSED -> OwnerFixtures.run(task, worker, 0).setThrottledToPercent(0, NOW);
            default -> throw new AssertionError(inactivity);
        }
    }

    @ParameterizedTest
    @EnumSource(IdleJob.Inactivity.class)
    void jobWhoseOnlyRunIsNotAtWorkIsIdle(IdleJob.Inactivity inactivity) {
        Job job = idleJob();
        placeInactiveRun(job, inactivity);
        log(LATER, job);
        assertThat(log.lines())
                .singleElement()
                .asString()
                .contains(" idle_ms=3000 ")
                .contains(" state=not_at_work ")
                .contains(" runs_" + inactivity.label() + "=1 ");
    }

    /** The last work before a pause, a stop or the last report of a worker is not idle time. */
    @ParameterizedTest
    @EnumSource(
            value = IdleJob.Inactivity.class,
            names = {"SILENT", "STOPPING", "PAUSED"})
    void idleTimeOfARunBeginsWithTheEndOfItsWork(IdleJob.Inactivity inactivity) {
        Job job = job("j", step(1).build(), NOW.minusSeconds(60));
        placeInactiveRun(job, inactivity);
        log(NOW.plusMillis(1_900), job);
        assertThat(log.lines()).isEmpty();
    }

    @Test
    void waitingTaskIsNamedBeforeOneWhoseRunIsNotAtWork() {
        Job job = job("j", step(2).build(), NOW);
        placeInactiveRun(job, IdleJob.Inactivity.STOPPING);
        log(LATER, job);
        assertThat(log.lines())
                .singleElement()
                .asString()
                .contains("task=j.0.0.1 ")
                .contains(" state=waiting ")
                .contains(" runs_stopping=1 ");
    }

    @Test
    void taskThatNeedsIsolationIsToldApart() {
        Job job = idleJob();
        OwnerFixtures.task(job).addCrash(1, true);
        OwnerFixtures.task(job).addCrash(2, true);
        log(LATER, job);
        assertThat(log.lines()).singleElement().asString().contains(" state=isolation ");
    }

    @Test
    void taskInARetryDelayIsToldApart() {
        Job job = idleJob();
        OwnerFixtures.task(job).delayUntil(LATER.plusMillis(1));
        log(LATER, job);
        assertThat(log.lines()).singleElement().asString().contains(" state=retry_delay ");
    }

    @Test
    void taskThatIsLeftWaitingForItsRackIsToldApart() {
        Job job = idleJob();
        OwnerFixtures.task(job).startRackWait(NOW);
        log(LATER, job);
        assertThat(log.lines()).singleElement().asString().contains(" state=rack_wait ");
    }

    @Test
    void jobIsIdleOnlySinceTheStepBeforeEnded() {
        JobSpec spec = new JobSpec(
                "work", List.of(step(1).build(), step(1).after(List.of(0)).build()), 0, 0, 0);
        Job job = new Job(new JobId("j"), OwnerFixtures.queue(), spec, NOW, NOW.toEpochMilli());
        Task first = OwnerFixtures.task(job);
        OwnerFixtures.run(first, worker, 0).release(LATER);
        first.markDone();
        first.step().incrementDoneCount();
        log(LATER.plusMillis(1_900), job);
        assertThat(log.lines()).isEmpty();
        log(LATER.plusSeconds(4), job);
        assertThat(log.lines()).singleElement().asString().contains("task=j.0.1.0 idle_ms=4000 ");
    }

    @Test
    void jobIsNotIdleBeforeItsTimeOfDay() {
        long dueMillis = NOW.plusSeconds(10).toEpochMilli();
        JobSpec spec = new JobSpec("work", List.of(step(1).build()), 1, dueMillis, 1_000);
        Job job = new Job(new JobId("j"), OwnerFixtures.queue(), spec, NOW, NOW.toEpochMilli());
        log(NOW.plusSeconds(9), job);
        log(NOW.plusSeconds(11), job);
        assertThat(log.lines()).isEmpty();
        log(NOW.plusSeconds(13), job);
        assertThat(log.lines()).singleElement().asString().contains(" idle_ms=3000 ");
    }

    @Test
    void timeBeforeTheOwnershipIsNotCounted() {
        IdleJobLogger successor = new IdleJobLogger(placementPolicy, metrics, NOW);
        Job job = job("j", step(1).build(), NOW.minusSeconds(60));
        job.markStartedByFormerOwner();
        log(successor, NOW.plusMillis(1_900), job);
        assertThat(log.lines()).isEmpty();
        log(successor, NOW.plusSeconds(4), job);
        assertThat(log.lines()).singleElement().asString().contains(" idle_ms=4000 ");
    }

    /** Otherwise a series of owners hides that the job waits; it has no run by the records, so nothing was at work. */
    @Test
    void timeBeforeTheOwnershipIsCountedIfNoRunWasRecorded() {
        IdleJobLogger successor = new IdleJobLogger(placementPolicy, metrics, NOW);
        Job job = job("j", step(1).build(), NOW.minusSeconds(60));
        log(successor, NOW.plusMillis(100), job);
        assertThat(log.lines()).singleElement().asString().contains(" idle_ms=60100 ");
    }

    @Test
    void endedJobIsNotLogged() {
        Job job = idleJob();
        job.end(JobState.CANCELLED, NOW);
        log(LATER, job);
        assertThat(log.lines()).isEmpty();
    }

    @Test
    void linesAreBoundedInTimeAndNumberLongestFirst() {
        Job[] jobs = new Job[9];
        for (int i = 0; i < jobs.length; i++) {
            jobs[i] = job("j" + i, step(1).build(), NOW.minusSeconds(i));
        }
        log(LATER, jobs);
        log(LATER.plusMillis(1_900), jobs);
        assertThat(log.lines()).hasSize(3).allMatch(line -> line.contains(" idle_jobs=9 "));
        assertThat(log.lines().get(0)).contains("job=j8 ");
        assertThat(log.lines().get(1)).contains("job=j7 ");
        assertThat(log.lines().get(2)).contains("job=j6 ");
    }

    @Test
    void longestIdleTimeIsMeasuredAndEndsWithTheWait() {
        Job job = idleJob();
        log(LATER, job, job("longer", step(1).build(), NOW.minusSeconds(2)));
        assertThat(metrics.longest).isEqualTo(Duration.ofSeconds(5));
        OwnerFixtures.run(OwnerFixtures.task(job), worker, 0);
        log(LATER.plusSeconds(2), job);
        assertThat(metrics.longest).isZero();
    }

    private static final class RecordedIdleTime implements OwnerMetrics {

        private Duration longest;

        private List<ServiceCores> services = List.of();

        @Override
        public void recordLongestIdleTime(Duration newLongest) {
            longest = newLongest;
        }

        @Override
        public void recordServiceCores(List<ServiceCores> newServices) {
            services = newServices;
        }
    }
}
