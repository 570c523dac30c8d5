package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.flamingopitch.scheduler.cell.disruption.EvacuationLimit;
import org.flamingopitch.scheduler.cell.feature.FeatureGate;
import org.flamingopitch.scheduler.cell.locality.PlacementWait;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.flamingopitch.scheduler.cell.model.RunEnd;
import org.flamingopitch.scheduler.cell.model.RunReport;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.speculation.CopyOutcome;

/**
 * Manages the runs of all tasks of the cell: has waiting tasks placed, moves runs off draining workers and stalled
 * runs, and retries tasks or ends jobs when runs end.
 */
final class RunManager implements RunListener {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Delay before a task is retried after a failed run, since the task itself may be faulty. */
    private static final Duration FAILED_TASK_RETRY_DELAY = Duration.ofMillis(50);

    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    private final CellContext context;

    private final CellTimings timings;

    private final JobTable jobs;

    private final Consumer<WorkerState> newerFencingTokenHandler;

    private final WorkerOrderSender orderSender;

    private final ThrottleController throttleController;

    private final WorkerHealth health;

    private final CrashAttribution crashAttribution = new CrashAttribution();

    private final PlacementPolicy placementPolicy;

    private final TaskPlacer placer;

    private final LearnedStatistics statistics;

    private final RackWaitPlanner rackWaits;

    private final CopyPlanner copyPlanner;

    private final CellSummaryLogger summaryLogger = new CellSummaryLogger();

    private final WaitingTaskLogger waitingTaskLogger;

    private final WaitingShortTaskLogger waitingShortTaskLogger;

    private final IdleJobLogger idleJobLogger;

    private CommitLog commitLog;

    private WorkerRegistry workerRegistry;

    private BooleanSupplier mayAct = () -> false;

    private RunMover runMover;

    private Instant lastTickAt = Instant.MIN;

    RunManager(
            CellContext context,
            CellTimings timings,
            long fencingToken,
            JobTable jobs,
            LearnedStatistics statistics,
            Consumer<WorkerState> newerFencingTokenHandler) {
        this.context = context;
        this.timings = timings;
        this.jobs = jobs;
        this.statistics = statistics;
        this.newerFencingTokenHandler = newerFencingTokenHandler;
        this.orderSender = new WorkerOrderSender(
                context, fencingToken, EvacuationLimit.startLease(timings.maxLease(), timings.evacuationLimit()), this);
        DurationEstimates estimates = statistics.estimates();
        this.health = new WorkerHealth(context.gates());
        this.placementPolicy = new PlacementPolicy(health, statistics.interference(), context.gates());
        BestEffortPreemption bestEffortPreemption =
                new BestEffortPreemption(orderSender, placementPolicy, estimates, timings, context.metrics());
        this.rackWaits = new RackWaitPlanner(
                timings.farFactor(), estimates, new PlacementWait(), context.metrics()::recordRackWait);
        rackWaits.setEnabled(context.gates().on(FeatureGate.RACK_WAITS));
        this.copyPlanner = new CopyPlanner(context, jobs, estimates);
        this.placer = new TaskPlacer(
                context,
                jobs,
                placementPolicy,
                orderSender,
                health,
                statistics.queueOrder(),
                crashAttribution,
                bestEffortPreemption,
                rackWaits,
                copyPlanner);
        this.waitingTaskLogger = new WaitingTaskLogger(placementPolicy, health);
        this.waitingShortTaskLogger = new WaitingShortTaskLogger(placementPolicy);
        this.idleJobLogger = new IdleJobLogger(placementPolicy, context.metrics(), context.now());
        this.throttleController =
                new ThrottleController(orderSender, statistics.interference(), this::mayStop, context.gates());
    }

    /**
     * Starts placing tasks, after the stored records have been loaded.
     *
     * @param mayActNow whether this process may place and start tasks at the moment
     */
    void startPlacing(CommitLog newCommitLog, WorkerRegistry newWorkerRegistry, BooleanSupplier mayActNow) {
        commitLog = newCommitLog;
        workerRegistry = newWorkerRegistry;
        mayAct = mayActNow;
        runMover = new RunMover(
                context.metrics(),
                orderSender,
                newWorkerRegistry,
                statistics,
                health,
                placementPolicy,
                context.gates());
        copyPlanner.enable(newWorkerRegistry);
        placer.enable(newCommitLog, newWorkerRegistry, mayActNow);
    }

    /** Takes note of a job that was restored from its records. */
    void onJobRestored(Job job) {
        statistics.onRestored(job, context.now());
        crashAttribution.restore(job);
    }

    /** Requests a placement pass over the waiting tasks. */
    void requestPlacement() {
        placer.requestPass();
    }

    /** Removes a job that was never sent to the store, with its planned runs. */
    void withdraw(Job job) {
        for (List<Step> steps : job.occurrences()) {
            for (Step step : steps) {
                step.tasks().forEach(task -> task.runs().forEach(run -> run.release(context.now())));
            }
        }
        jobs.remove(job);
        placer.requestPass();
    }

    /** Marks the ends of runs as durable whose changes have been committed. */
    void onCommitted() {
        long durable = commitLog.durableSequence();
        workerRegistry.workers().forEach(worker -> worker.ends().markDurableUpTo(durable));
    }

    /** Ends a job in the given state and stops its runs. */
    void endJob(Job job, JobState state) {
        job.end(state, context.now());
        commitLog.write(job, true, null);
        for (List<Step> steps : job.occurrences()) {
            for (Step step : steps) {
                step.tasks().forEach(this::stopRuns);
            }
        }
        placer.requestPass();
    }

    private boolean mayStop(Run longRunning) {
        return runMover != null && runMover.mayStop(longRunning);
    }

    private void stopRuns(Task task) {
        if (task.copy() != null && !task.done()) {
            copyPlanner.recordOutcome(CopyOutcome.CANCELLED);
        }
        for (Run run : task.runs()) {
            if (run.phase() == RunPhase.PLANNED) {
                run.release(context.now());
            } else {
                orderSender.stop(run);
            }
        }
    }

    /**
     * Places waiting tasks, repeats orders, moves runs off draining and evacuated workers and removes old jobs, as far
     * as they are due.
     */
    void tick() {
        placer.placeIfDue();
        Instant now = context.now();
        if (now.isBefore(lastTickAt.plus(TICK_INTERVAL))) {
            return;
        }
        lastTickAt = now;
        if (context.gates().on(FeatureGate.COPIES) && copyPlanner.planIfDue(now)) {
            placer.requestPass();
        }
        summaryLogger.logIfDue(jobs.all(), workerRegistry, context.timeOfDayMillis(), now);
        waitingTaskLogger.logIfDue(jobs.all(), workerRegistry, context.timeOfDayMillis(), now);
        waitingShortTaskLogger.logIfDue(
                jobs.all(), workerRegistry.workers(), placer::obstacle, context.timeOfDayMillis(), now);
        idleJobLogger.logIfDue(
                jobs.all(),
                workerRegistry.workers(),
                placer::obstacle,
                workerRegistry::answering,
                mayAct.getAsBoolean(),
                context.timeOfDayMillis(),
                now);
        checkRuns(now);
        checkJobs(now);
    }

    private void checkRuns(Instant now) {
        runMover.startTick(now);
        for (WorkerState worker : List.copyOf(workerRegistry.workers())) {
            boolean evacuated = workerRegistry.evacuated(worker);
            for (Run run : List.copyOf(worker.runs())) {
                if (evacuated || !mayAct.getAsBoolean()) {
                    orderSender.stopIfStartUnanswered(run);
                }
                orderSender.repeatOrderIfDue(run);
                runMover.moveIfRequired(run, now);
            }
        }
    }

    private void checkJobs(Instant now) {
        for (Job job : List.copyOf(jobs.all())) {
            statistics.jobShares().countIfDecided(job, now);
            boolean retentionOver = !job.open() && !now.isBefore(job.endedAt().plus(timings.doneJobRetention()));
            if (retentionOver && job.endStateDurable() && !job.hasOpenRun()) {
                jobs.remove(job);
                commitLog.delete(job);
            }
            if (job.open() && job.spec().timed()) {
                placer.requestPass();
            }
        }
    }

    @Override
    public void onOrderOutcomeKnown(Run run) {
        if (run.phase() == RunPhase.STOPPING) {
            workerRegistry.pollSoon(run.worker());
        } else if (!run.task().job().open()) {
            orderSender.stop(run);
        } else if (run.slowStart()) {
            orderSender.throttle(run, ThrottleController.LOWEST_SPEED_PERCENT);
        }
    }

    @Override
    public void onStartUnanswered(Run run) {
        run.task().avoid(run.worker().id());
        health.quarantine(run.worker().id(), context.now());
    }

    @Override
    public void onStartRefused(Run run, String reason, boolean workerAtFault) {
        LOGGER.atWarning().log(
                "event=start_refused task=%s run=%d worker=%s reason=%s",
                run.task().ref(), run.number(), run.worker().id(), reason);
        if (workerAtFault) {
            run.task().avoid(run.worker().id());
            health.recordFailure(run.worker().id(), run.task().job().id(), run.placedAt(), context.now());
        }
        reschedule(run, Duration.ZERO);
    }

    @Override
    public void onRunTerminated(Run run, String cause) {
        LOGGER.atWarning().log(
                "event=run_gone task=%s run=%d worker=%s cause=\"%s\"",
                run.task().ref(), run.number(), run.worker().id(), cause);
        reschedule(run, Duration.ZERO);
    }

    @Override
    public void onRunMissing(Run run) {
        LOGGER.atWarning().log(
                "event=run_missing task=%s run=%d worker=%s",
                run.task().ref(), run.number(), run.worker().id());
        orderSender.stop(run);
    }

    @Override
    public void onWorkerLapsed(WorkerState worker, List<Run> runs) {
        crashAttribution.recordLapse(worker, runs, context.now());
    }

    @Override
    public void onWorkerCrashed(WorkerState worker, List<Run> runs) {
        for (Run run : crashAttribution.recordCrash(worker, runs)) {
            Task task = run.task();
            int crashes = task.crashCount();
            LOGGER.atWarning().log(
                    "event=worker_crashed worker=%s task=%s run=%d crashes=%d",
                    worker.id(), task.ref(), run.number(), crashes);
            commitLog.write(task, false, null);
            if (CrashAttribution.exhausted(task) && task.job().open()) {
                LOGGER.atWarning().log(
                        "event=job_failed job=%s task=%s crashes=%d", task.job().id(), task.ref(), crashes);
                endJob(task.job(), JobState.FAILED);
            }
        }
    }

    private void reschedule(Run run, Duration delay) {
        Task task = run.task();
        Run copy = task.copy();
        run.releaseWithoutEnd(context.now());
        if (copy != null && task.job().open() && !task.done()) {
            copyPlanner.recordEnd(task, run, copy);
        }
        if (!delay.isZero()) {
            task.delayUntil(context.now().plus(delay));
            context.schedule(delay, placer::requestPass);
        }
        commitLog.write(task, false, null);
        placer.requestPass();
    }

    @Override
    public long onRunEnded(WorkerState worker, RunEnd end) {
        Task task = jobs.task(end.task());
        if (task == null) {
            return commitLog.sequence();
        }
        LOGGER.atInfo().log(
                "event=end task=%s run=%d worker=%s kind=%s", end.task(), end.run(), worker.id(), end.kind());
        task.job().markBegun();
        Run run = task.run(end.run(), worker);
        Run copy = task.copy();
        if (run != null) {
            run.release(context.now());
        }
        if (task.done() || !task.job().open()) {
            return commitLog.write(task, false, null);
        }
        handleEnd(task, worker, end, run);
        if (copy != null && (run != null || task.done())) {
            copyPlanner.recordEnd(task, run, copy);
        }
        placer.requestPass();
        return commitLog.write(task, !task.job().open(), null);
    }

    private void handleEnd(Task task, WorkerState worker, RunEnd end, Run run) {
        task.updateCheckpoint(run, end.checkpoint());
        if (end.kind().success()) {
            handleSuccess(task, worker, run);
            return;
        }
        if (!end.kind().countsAsAttempt()) {
            return;
        }
        task.addFailure(end.run(), worker.id());
        Instant placedAt = run == null ? Instant.MIN : run.placedAt();
        if (health.recordFailure(worker.id(), task.job().id(), placedAt, context.now())) {
            LOGGER.atWarning().log("event=quarantined worker=%s", worker.id());
        }
        boolean exhausted = task.failedRuns().size() >= task.job().queue().maxAttempts();
        if (exhausted && !task.step().spec().lasting()) {
            LOGGER.atInfo().log(
                    "event=job_failed job=%s task=%s attempts=%d",
                    task.job().id(), task.ref(), task.failedRuns().size());
            endJob(task.job(), JobState.FAILED);
            return;
        }
        if (task.run() == null) {
            task.delayUntil(context.now().plus(FAILED_TASK_RETRY_DELAY));
            context.schedule(FAILED_TASK_RETRY_DELAY, placer::requestPass);
        }
    }

    private void handleSuccess(Task task, WorkerState worker, Run run) {
        if (task.step().spec().lasting()) {
            return;
        }
        task.markDone();
        stopRuns(task);
        task.step().incrementDoneCount();
        if (run != null) {
            statistics.recordCompletedWork(task, context.now());
            long durationMillis =
                    (long) (Duration.between(run.placedAt(), context.now()).toMillis() / rackWaits.distanceFactor(run));
            double slowdown = statistics
                    .estimates()
                    .recordRun(task.job().queue().name(), task.step().spec().estimateMillis(), durationMillis);
            if (run.beginKnown()) {
                copyPlanner.recordCompleted(run, durationMillis);
            }
            health.recordSuccess(worker.id(), slowdown, run.placedAt());
        }
        if (task.job().allDone()) {
            task.job().end(JobState.DONE, context.now());
            LOGGER.atInfo().log(
                    "event=job_done job=%s ms=%d",
                    task.job().id(),
                    Duration.between(task.job().submittedAt(), context.now()).toMillis());
        }
    }

    @Override
    public void onUnexpectedRun(WorkerState worker, RunReport report) {
        Task task = jobs.task(report.task());
        if (task == null || task.run() != null) {
            worker.setHasUnknownRuns(true);
            LOGGER.atWarning().log(
                    "event=unknown_run task=%s run=%d worker=%s", report.task(), report.run(), worker.id());
            orderSender.stopUnknownRun(worker, report.task(), report.run());
            return;
        }
        boolean adoptable = task.job().open() && !task.done();
        Run run = task.restoreRun(worker, report.run(), context.now());
        task.restoreLastRunNumber(report.run());
        worker.add(run);
        run.enterPhase(RunPhase.RUNNING, context.now());
        LOGGER.atInfo().log(
                "event=adopted task=%s run=%d worker=%s wanted=%s",
                report.task(), report.run(), worker.id(), adoptable);
        if (!adoptable) {
            orderSender.stop(run);
        }
    }

    @Override
    public void onReportApplied(WorkerState worker) {
        for (Task cleared : crashAttribution.clear(worker)) {
            commitLog.write(cleared, false, null);
            placer.requestPass();
        }
        statistics.interference().update(worker, context.now());
        throttleController.adjustThrottling(worker, context.now());
        worker.setNeedsFrequentPolling(statistics.interference().isTargetAtRisk(worker, context.now()));
    }

    @Override
    public void onWorkersChanged() {
        placer.requestPass();
    }

    @Override
    public void onNewerFencingToken(WorkerState worker) {
        newerFencingTokenHandler.accept(worker);
    }
}
