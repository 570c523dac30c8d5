package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.flamingopitch.scheduler.cell.model.RunEnd;
import org.flamingopitch.scheduler.cell.model.RunReport;
import org.flamingopitch.scheduler.cell.port.CellContext;

/** Keeps the tasks of all jobs going: places them, follows their runs and decides what follows from their ends. */
final class RunKeeper implements RunListener {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The pause before a task is started again after a failure that may be its own. */
    private static final Duration FAILURE_DELAY = Duration.ofMillis(50);

    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    /** A run without progress for this long, and for longer than expected, stands still. */
    private static final Duration STALL_TIME = Duration.ofMillis(2_500);

    private static final int FULL_PACE = 100;

    private final CellContext context;

    private final CellTimings timings;

    private final JobTable jobs;

    private final Consumer<WorkerState> onFenced;

    private final OrderDesk orders;

    private final PaceControl pacing;

    private final WorkerHealth health = new WorkerHealth();

    private final Interference interference = new Interference();

    private final TaskPlacer placer;

    private final DurationEstimates estimates = new DurationEstimates();

    private final MeanWork meanWork = new MeanWork();

    private final DrainRate drainRate = new DrainRate();

    private final CellSummary summary = new CellSummary();

    private final List<Runnable> doubts = new ArrayList<>();

    private CommitLog log;

    private Fleet fleet;

    private Instant tickedAt = Instant.MIN;

    RunKeeper(CellContext context, CellTimings timings, long fence, JobTable jobs, Consumer<WorkerState> onFenced) {
        this.context = context;
        this.timings = timings;
        this.jobs = jobs;
        this.onFenced = onFenced;
        this.orders = new OrderDesk(context, fence, timings.maxLease(), this);
        JobOrder order = new JobOrder(estimates, meanWork);
        this.placer = new TaskPlacer(context, jobs, new Placement(health, interference), orders, health, order);
        this.pacing = new PaceControl(orders, interference);
    }

    /** Starts to act, after the records were read. */
    void begin(CommitLog newLog, Fleet newFleet, BooleanSupplier mayActNow) {
        log = newLog;
        fleet = newFleet;
        placer.begin(newLog, newFleet, mayActNow);
    }

    void close() {
        List<Runnable> open = List.copyOf(doubts);
        doubts.clear();
        open.forEach(Runnable::run);
    }

    DurationEstimates estimates() {
        return estimates;
    }

    MeanWork meanWork() {
        return meanWork;
    }

    DrainRate drainRate() {
        return drainRate;
    }

    /** Returns what was learned, to be kept for a successor. */
    LearnedRecord learned() {
        return new LearnedRecord(estimates.records(), interference.records());
    }

    /** Takes over what another owner learned. */
    void restore(LearnedRecord record) {
        estimates.restore(record.durations());
        interference.restore(record.responses());
    }

    /** Asks for another look at the tasks that wait. */
    void requestPlacing() {
        placer.request();
    }

    /** Runs an action when the job is durable, or another if the ownership ends before. */
    void awaitDurable(Job job, Runnable action, Runnable inDoubt) {
        doubts.add(inDoubt);
        log.write(job, true, () -> {
            if (doubts.remove(inDoubt)) {
                action.run();
            }
        });
    }

    void committed() {
        long durable = log.durableSequence();
        fleet.workers().forEach(worker -> worker.noteDurable(durable));
    }

    /** Ends a job and stops what runs of it. */
    void end(Job job, JobState state) {
        job.end(state, context.now());
        log.write(job, true, null);
        for (List<Step> steps : job.occurrences()) {
            for (Step step : steps) {
                step.tasks().forEach(this::stopIfRunning);
            }
        }
        placer.request();
    }

    private void stopIfRunning(Task task) {
        Run run = task.run();
        if (run == null) {
            return;
        }
        if (run.phase() == RunPhase.PLANNED) {
            run.release(context.now());
        } else {
            orders.stop(run);
        }
    }

    void tick() {
        placer.placeIfDue();
        Instant now = context.now();
        if (now.isBefore(tickedAt.plus(TICK_INTERVAL))) {
            return;
        }
        tickedAt = now;
        summary.writeIfDue(jobs.all(), fleet, context.timeOfDayMillis(), now);
        for (WorkerState worker : List.copyOf(fleet.workers())) {
            for (Run run : List.copyOf(worker.runs())) {
                orders.retry(run);
                moveIfStuck(run, now);
            }
        }
        for (Job job : List.copyOf(jobs.all())) {
            boolean old = !job.open() && !now.isBefore(job.terminalAt().plus(timings.doneJobsKept()));
            if (old && job.terminalDurable() && !job.anyRun()) {
                jobs.remove(job);
                log.delete(job);
            }
            if (job.open() && job.spec().timed()) {
                placer.request();
            }
        }
    }

    /** Stops a run that should continue elsewhere: its worker leaves, or it makes no progress. */
    private void moveIfStuck(Run run, Instant now) {
        if (run.phase() != RunPhase.RUNNING || !run.task().job().open()) {
            return;
        }
        boolean lasting = run.task().step().spec().lasting();
        if (run.worker().draining() && lasting) {
            LOGGER.atInfo().log(
                    "event=evacuated task=%s run=%d worker=%s",
                    run.task().ref(), run.number(), run.worker().id());
            orders.stop(run);
            return;
        }
        Duration expected = Duration.ofMillis(2
                * estimates.expectedMillis(
                        run.task().job().queue().name(),
                        run.task().step().spec().estimateMillis()));
        boolean late = now.isAfter(run.placedAt().plus(expected).plus(STALL_TIME));
        boolean stalled = now.isAfter(run.progressAt().plus(STALL_TIME)) && fleet.answering(run.worker());
        boolean held = run.pacedTo() != FULL_PACE;
        if (!lasting && late && stalled && !held) {
            LOGGER.atWarning().log(
                    "event=stalled task=%s run=%d worker=%s percent=%.0f",
                    run.task().ref(), run.number(), run.worker().id(), run.percent());
            run.task().avoid(run.worker().id());
            health.quarantine(run.worker().id(), now);
            orders.stop(run);
        }
    }

    @Override
    public void settled(Run run) {
        if (run.phase() == RunPhase.STOPPING) {
            fleet.hurry(run.worker());
        } else if (!run.task().job().open()) {
            orders.stop(run);
        }
    }

    @Override
    public void unanswered(Run run) {
        run.task().avoid(run.worker().id());
        health.quarantine(run.worker().id(), context.now());
    }

    @Override
    public void refused(Run run, String reason, boolean workerAtFault) {
        LOGGER.atWarning().log(
                "event=start_refused task=%s run=%d worker=%s reason=%s",
                run.task().ref(), run.number(), run.worker().id(), reason);
        if (workerAtFault) {
            run.task().avoid(run.worker().id());
            health.failed(run.worker().id(), run.task().job().id(), context.now());
        }
        again(run, Duration.ZERO);
    }

    @Override
    public void gone(Run run, String cause) {
        LOGGER.atWarning().log(
                "event=run_gone task=%s run=%d worker=%s cause=\"%s\"",
                run.task().ref(), run.number(), run.worker().id(), cause);
        again(run, Duration.ZERO);
    }

    private void again(Run run, Duration delay) {
        Task task = run.task();
        run.release(context.now());
        if (!delay.isZero()) {
            task.delayUntil(context.now().plus(delay));
            context.schedule(delay, placer::request);
        }
        log.write(task.job(), false, null);
        placer.request();
    }

    @Override
    public long ended(WorkerState worker, RunEnd end) {
        Task task = jobs.task(end.task());
        if (task == null) {
            return log.sequence();
        }
        LOGGER.atInfo().log(
                "event=end task=%s run=%d worker=%s kind=%s", end.task(), end.run(), worker.id(), end.kind());
        Run run = task.run();
        boolean current = run != null && run.number() == end.run() && run.worker() == worker;
        if (current) {
            run.release(context.now());
        }
        if (task.done() || !task.job().open()) {
            return log.write(task.job(), false, null);
        }
        apply(task, worker, end, current ? run : null);
        placer.request();
        return log.write(task.job(), !task.job().open(), null);
    }

    private void apply(Task task, WorkerState worker, RunEnd end, Run run) {
        task.keepCheckpoint(end.checkpoint());
        if (end.kind().success()) {
            done(task, worker, run);
            return;
        }
        if (!end.kind().countsAsAttempt()) {
            return;
        }
        task.addFailure(end.run(), worker.id());
        if (health.failed(worker.id(), task.job().id(), context.now())) {
            LOGGER.atWarning().log("event=quarantined worker=%s", worker.id());
        }
        boolean exhausted = task.failedRuns().size() >= task.job().queue().maxAttempts();
        if (exhausted && !task.step().spec().lasting()) {
            LOGGER.atInfo().log(
                    "event=job_failed job=%s task=%s attempts=%d",
                    task.job().id(), task.ref(), task.failedRuns().size());
            end(task.job(), JobState.FAILED);
            return;
        }
        if (task.run() == null) {
            task.delayUntil(context.now().plus(FAILURE_DELAY));
            context.schedule(FAILURE_DELAY, placer::request);
        }
    }

    private void done(Task task, WorkerState worker, Run run) {
        if (task.step().spec().lasting()) {
            return;
        }
        if (task.run() != null) {
            stopIfRunning(task);
        }
        task.finish();
        task.step().countDone();
        if (run != null) {
            drainRate.add(
                    task.step().spec().demand().milliCores()
                            * estimates.expectedMillis(
                                    task.job().queue().name(),
                                    task.step().spec().estimateMillis()),
                    context.now());
            long took = Duration.between(run.placedAt(), context.now()).toMillis();
            double slowness = estimates.learn(
                    task.job().queue().name(), task.step().spec().estimateMillis(), took);
            health.succeeded(worker.id(), slowness);
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
    public void found(WorkerState worker, RunReport report) {
        Task task = jobs.task(report.task());
        if (task == null || task.run() != null) {
            worker.setUnknownRuns(true);
            LOGGER.atWarning().log(
                    "event=unknown_run task=%s run=%d worker=%s", report.task(), report.run(), worker.id());
            orders.stopUnknown(worker, report.task(), report.run());
            return;
        }
        boolean adoptable = task.job().open() && !task.done();
        Run run = task.restore(worker, report.run(), context.now());
        task.restoreLastRun(report.run());
        worker.add(run);
        run.enter(RunPhase.RUNNING);
        LOGGER.atInfo().log(
                "event=adopted task=%s run=%d worker=%s wanted=%s",
                report.task(), report.run(), worker.id(), adoptable);
        if (!adoptable) {
            orders.stop(run);
        }
    }

    @Override
    public void reportApplied(WorkerState worker) {
        interference.learn(worker, context.now());
        pacing.apply(worker, context.now());
        worker.setCritical(interference.critical(worker, context.now()));
    }

    @Override
    public void workersChanged() {
        placer.request();
    }

    @Override
    public void fenced(WorkerState worker) {
        onFenced.accept(worker);
    }
}
