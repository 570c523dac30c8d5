package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.speculation.CopyCapacity;
import org.flamingopitch.scheduler.cell.speculation.CopyOutcome;
import org.flamingopitch.scheduler.cell.speculation.CopyProposal;
import org.flamingopitch.scheduler.cell.speculation.DurationDistribution;
import org.flamingopitch.scheduler.cell.speculation.RunProgress;
import org.flamingopitch.scheduler.cell.speculation.SpeculativeStep;
import org.flamingopitch.scheduler.cell.speculation.StragglerPolicy;

/**
 * Plans copies of running tasks by the {@link StragglerPolicy}, and records what becomes of them. The next placement
 * pass places the planned copies, after the tasks that wait.
 */
final class CopyPlanner {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Short against the tasks, which take a second or less where a copy can save a job's objective. */
    private static final Duration EVALUATION_INTERVAL = Duration.ofMillis(50);

    /** Time until the next evaluation after no worker had capacity for a copy. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** Bounds the time of a placement pass, since each copy rates all workers. */
    private static final int MAX_COPIES_PER_PASS = 16;

    private final CellContext context;

    private final JobTable jobs;

    private final DurationEstimates estimates;

    private WorkerRegistry workerRegistry;

    private List<Copy> planned = List.of();

    /** The highest priority of a task that waited after the last placement pass. */
    private int waitingPriority = CopyCapacity.NONE_WAITS;

    private Instant lastEvaluationAt = Instant.MIN;

    CopyPlanner(CellContext context, JobTable jobs, DurationEstimates estimates) {
        this.context = context;
        this.jobs = jobs;
        this.estimates = estimates;
    }

    /** Enables planning, after the stored records were loaded. */
    void enable(WorkerRegistry newWorkerRegistry) {
        workerRegistry = newWorkerRegistry;
    }

    /**
     * Plans copies if the last evaluation is long enough ago.
     *
     * @return whether a placement pass could place one now
     */
    boolean planIfDue(Instant now) {
        if (now.isBefore(lastEvaluationAt.plus(EVALUATION_INTERVAL))) {
            return false;
        }
        lastEvaluationAt = now;
        List<Step> candidates = new ArrayList<>();
        for (Job job : jobs.all()) {
            if (!job.open() || !job.started()) {
                continue;
            }
            for (List<Step> steps : job.occurrences()) {
                for (Step step : steps) {
                    boolean candidate = step.permitsCopies() && !step.done();
                    if (candidate && !proposals(step, CopyCapacity.IDLE, now).isEmpty()) {
                        candidates.add(step);
                    }
                }
            }
        }
        List<Copy> copies = new ArrayList<>();
        if (!candidates.isEmpty()) {
            CopyCapacity capacity = capacity(now);
            candidates.forEach(step -> copies.addAll(proposals(step, capacity, now)));
        }
        copies.sort(Comparator.comparing((Copy copy) -> !copy.proposal().savesObjective())
                .thenComparing(copy -> -copy.proposal().savedMillis()));
        planned = copies;
        return copies.stream().anyMatch(copy -> copy.task().job().queue().priority() < waitingPriority);
    }

    private List<Copy> proposals(Step step, CopyCapacity capacity, Instant now) {
        List<Task> tasks = step.tasks().stream().filter(task -> !task.done()).toList();
        if (tasks.stream().noneMatch(Task::copyable)) {
            return List.of();
        }
        Job job = step.job();
        Duration allowed = Duration.between(job.submittedAt(), job.objective());
        Instant worthlessAt = job.submittedAt().plus(allowed.multipliedBy(Job.MAX_LATENESS_FACTOR));
        Expectation expectation = expectation(step);
        SpeculativeStep view = new SpeculativeStep(
                expectation.durations(),
                expectation.usualMillis(),
                Duration.between(now, job.objective()).toMillis(),
                Duration.between(now, worthlessAt).toMillis(),
                tasks.stream().map(task -> view(task, now)).toList());
        return StragglerPolicy.propose(view, capacity).stream()
                .map(proposal -> new Copy(tasks.get(proposal.task()), proposal))
                .toList();
    }

    /** Returns what is usual for a step: by its own tasks as soon as half of them are done, else by the estimate. */
    private Expectation expectation(Step step) {
        DurationDistribution withinSteps =
                estimates.withinSteps(step.job().queue().name());
        if (step.medianMillis() > 0 && withinSteps.known()) {
            return new Expectation(withinSteps, step.medianMillis());
        }
        return new Expectation(
                estimates.distribution(step.job().queue().name()), step.spec().estimateMillis());
    }

    private static SpeculativeStep.OpenTask view(Task task, Instant now) {
        List<RunProgress> runs = task.runs().stream()
                .filter(run -> run.phase() != RunPhase.STOPPING)
                .map(run -> run.progress(now))
                .toList();
        return new SpeculativeStep.OpenTask(runs, task.copyable());
    }

    private CopyCapacity capacity(Instant now) {
        long total = 0;
        long reserved = 0;
        long copies = 0;
        for (WorkerState worker : workerRegistry.workers()) {
            if (workerRegistry.usable(worker, now)) {
                total += worker.entry().capacity().milliCores();
                reserved += worker.reserved().milliCores();
            }
            for (Run run : worker.runs()) {
                boolean redundant = run.task().done() || run.task().copy() == run;
                if (redundant && run.task().step().permitsCopies()) {
                    copies += run.task().step().spec().reserved().milliCores();
                }
            }
        }
        return new CopyCapacity(total, reserved, copies, waitingPriority);
    }

    /**
     * Returns the planned copies that may be started now, at most {@link #MAX_COPIES_PER_PASS}.
     *
     * @param highestWaitingPriority the highest priority of a task that waits for capacity
     */
    List<Copy> takePlanned(int highestWaitingPriority, Instant now) {
        waitingPriority = highestWaitingPriority;
        if (planned.isEmpty()) {
            return List.of();
        }
        CopyCapacity capacity = capacity(now);
        List<Copy> taken = new ArrayList<>();
        for (Copy copy : planned) {
            StepSpec spec = copy.task().step().spec();
            int priority = copy.task().job().queue().priority();
            boolean admitted = capacity.admits(spec.reserved().milliCores(), priority);
            if (admitted && copy.task().copyable() && taken.size() < MAX_COPIES_PER_PASS) {
                capacity = capacity.withCopy(spec.reserved().milliCores());
                taken.add(copy);
            }
        }
        planned = List.of();
        return taken;
    }

    /** Postpones the next evaluation, as no worker has capacity for a copy; each evaluation requests a placement pass. */
    void postpone(Instant now) {
        lastEvaluationAt = now.plus(RETRY_DELAY).minus(EVALUATION_INTERVAL);
    }

    /** Logs the start of a copy. */
    static void logStart(Copy copy, Run run) {
        CopyProposal proposal = copy.proposal();
        LOGGER.atInfo().log(
                "event=copy_started task=%s run=%d worker=%s elapsed_ms=%d expected_ms=%d percent=%.0f",
                copy.task().ref(),
                run.number(),
                run.worker().id(),
                proposal.elapsedMillis(),
                proposal.remainingMillis(),
                proposal.percent());
    }

    /** Counts what became of a copy. */
    void recordOutcome(CopyOutcome outcome) {
        context.metrics().recordCopyOutcome(outcome);
    }

    /**
     * Records the end of one of two runs of a task.
     *
     * @param ended the run
     * @param copy the one of the two that was started later
     */
    void recordEnd(Task task, Run ended, Run copy) {
        if (!task.done()) {
            recordOutcome(ended == copy ? CopyOutcome.ENDED : CopyOutcome.SOLE);
            return;
        }
        CopyOutcome outcome = ended == copy ? CopyOutcome.WON : CopyOutcome.LOST;
        long saved = ended == copy && task.run() != null ? recordStopped(task.run()) : 0;
        if (ended != copy) {
            recordStopped(copy);
        }
        LOGGER.atInfo().log(
                "event=copy_%s task=%s run=%d saved_ms=%d", outcome.label(), task.ref(), copy.number(), saved);
        recordOutcome(outcome);
    }

    /**
     * Adds a run that is stopped because the other one of its task was done first to the distribution of durations, with
     * the duration that was to be expected. Without them the distribution would lack the longest runs, and the next
     * straggler would not be recognised.
     *
     * @return how much longer the run would have lasted, in milliseconds
     */
    private long recordStopped(Run run) {
        Step step = run.task().step();
        Expectation expectation = expectation(step);
        RunProgress progress = run.progress(context.now());
        long remaining =
                StragglerPolicy.expectedRemainingMillis(progress, expectation.durations(), expectation.usualMillis());
        if (run.beginKnown() && run.confirmed()) {
            QueueName queue = step.job().queue().name();
            long millis = progress.elapsedMillis() + remaining;
            estimates.recordDuration(queue, step.spec().estimateMillis(), millis);
            estimates.recordWithinStep(queue, step.medianMillis(), millis);
        }
        return remaining;
    }

    /**
     * Records the duration of a run that completed a task. Those of a step are compared with each other when all are
     * known.
     */
    void recordCompleted(Run run, long millis) {
        Step step = run.task().step();
        QueueName queue = step.job().queue().name();
        estimates.recordDuration(queue, step.spec().estimateMillis(), millis);
        step.recordDuration(millis);
        if (step.done()) {
            step.durations().forEach(each -> estimates.recordWithinStep(queue, step.medianMillis(), each));
        }
    }

    /**
     * What is usual for the tasks of a step.
     *
     * @param durations the ratios of durations to the usual one
     * @param usualMillis the usual duration
     */
    private record Expectation(DurationDistribution durations, long usualMillis) {}

    /**
     * A planned copy.
     *
     * @param task the task
     * @param proposal why a copy pays
     */
    record Copy(Task task, CopyProposal proposal) {}
}
