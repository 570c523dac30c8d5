package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.flamingopitch.scheduler.cell.feature.FeatureGate;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.speculation.CopyCapacity;
import org.flamingopitch.scheduler.cell.speculation.CopyOutcome;

/**
 * Places waiting tasks on workers, in the order of the job queue, and orders their start after the placement has been
 * committed.
 */
final class TaskPlacer {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * Minimum time between two passes, so that changes in quick succession are handled by one pass over all waiting
     * jobs.
     */
    private static final Duration MIN_PASS_INTERVAL = Duration.ofMillis(25);

    /**
     * Time between passes while tasks wait. Capacity may become available without an event that requests a pass, for
     * example at the end of a quarantine or of a reservation.
     */
    private static final Duration WAITING_TASKS_PASS_INTERVAL = Duration.ofMillis(500);

    private final CellContext context;

    private final JobTable jobs;

    private final PlacementPolicy placementPolicy;

    private final PreemptionPlanner preemptionPlanner;

    private final BestEffortPreemption bestEffortPreemption;

    private final WorkerOrderSender orderSender;

    private final WorkerHealth health;

    private final JobQueueOrder queueOrder;

    private final CrashAttribution crashAttribution;

    private final IsolationPlanner isolationPlanner;

    private final StarvedTaskPlanner starvedTaskPlanner;

    private final RackWaitPlanner rackWaits;

    private final CopyPlanner copyPlanner;

    private CommitLog commitLog;

    private WorkerRegistry workerRegistry;

    private BooleanSupplier mayAct = () -> false;

    private boolean passRequested;

    /** Whether the last pass left tasks waiting that were ready to start. */
    private boolean tasksWaiting;

    /** The highest priority of a task that the present pass left waiting. */
    private int waitingPriority;

    private Instant lastPassAt = Instant.MIN;

    /** The last time for which a pass was requested because of a task that waits for its rack. */
    private Instant rackDecisionAt = Instant.MIN;

    TaskPlacer(
            CellContext context,
            JobTable jobs,
            PlacementPolicy placementPolicy,
            WorkerOrderSender orderSender,
            WorkerHealth health,
            JobQueueOrder queueOrder,
            CrashAttribution crashAttribution,
            BestEffortPreemption bestEffortPreemption,
            RackWaitPlanner rackWaits,
            CopyPlanner copyPlanner) {
        this.context = context;
        this.jobs = jobs;
        this.placementPolicy = placementPolicy;
        this.orderSender = orderSender;
        this.health = health;
        this.queueOrder = queueOrder;
        this.crashAttribution = crashAttribution;
        this.bestEffortPreemption = bestEffortPreemption;
        this.rackWaits = rackWaits;
        this.copyPlanner = copyPlanner;
        this.isolationPlanner = new IsolationPlanner(placementPolicy);
        this.starvedTaskPlanner = new StarvedTaskPlanner(placementPolicy, this::answering, context.now());
        this.preemptionPlanner = new PreemptionPlanner(orderSender, placementPolicy);
    }

    /** Enables placing, after the stored records were loaded. */
    void enable(CommitLog newCommitLog, WorkerRegistry newWorkerRegistry, BooleanSupplier mayActNow) {
        commitLog = newCommitLog;
        workerRegistry = newWorkerRegistry;
        mayAct = mayActNow;
        passRequested = true;
    }

    /** Requests another pass over the waiting tasks. */
    void requestPass() {
        passRequested = true;
    }

    /** Runs a pass if one is requested, or tasks wait, and the last one is long enough ago. */
    void placeIfDue() {
        if (!passRequested && !tasksWaiting) {
            return;
        }
        Duration interval = passRequested ? MIN_PASS_INTERVAL : WAITING_TASKS_PASS_INTERVAL;
        if (mayAct.getAsBoolean() && !context.now().isBefore(lastPassAt.plus(interval))) {
            lastPassAt = context.now();
            runPass();
        }
    }

    private void runPass() {
        passRequested = false;
        tasksWaiting = false;
        waitingPriority = CopyCapacity.NONE_WAITS;
        Instant now = context.now();
        long timeOfDayMillis = context.timeOfDayMillis();
        List<Job> waiting = new ArrayList<>();
        for (Job job : jobs.open()) {
            if (hasWaitingTask(job, timeOfDayMillis, now)) {
                waiting.add(job);
            }
        }
        FailedPlacements failures = new FailedPlacements();
        PlacementPass pass = placementPolicy.startPass(
                workerRegistry.workers(), worker -> usable(worker, now), rackWaits.preferredRacks(jobs.open()), now);
        rackWaits.startPass(pass, this::answering, now);
        placeInIsolation(pass, timeOfDayMillis, now);
        bestEffortPreemption.startPass(worker -> usable(worker, now), now);
        for (Job job : queueOrder.sort(waiting, now)) {
            placeJob(job, timeOfDayMillis, failures, pass, now);
        }
        placeCopies(pass, now);
        placeStarved(pass, timeOfDayMillis, now);
        scheduleRackDecision(now);
    }

    /** Requests a pass for the time at which a task left waiting for its rack is to be decided again. */
    private void scheduleRackDecision(Instant now) {
        Instant decisionAt = rackWaits.nextDecisionAt();
        boolean alreadyScheduled = rackDecisionAt.isAfter(now) && !decisionAt.isBefore(rackDecisionAt);
        if (decisionAt.equals(Instant.MAX) || alreadyScheduled) {
            return;
        }
        rackDecisionAt = decisionAt;
        context.schedule(Duration.between(now, decisionAt), this::requestPass);
    }

    private static boolean hasWaitingTask(Job job, long timeOfDayMillis, Instant now) {
        for (List<Step> steps : job.occurrences()) {
            for (Step step : steps) {
                if (!step.done() && step.ready(timeOfDayMillis) && step.waitingCount(now) > 0) {
                    return true;
                }
            }
        }
        return false;
    }

    private void placeJob(Job job, long timeOfDayMillis, FailedPlacements failures, PlacementPass pass, Instant now) {
        for (List<Step> steps : job.occurrences()) {
            for (Step step : steps) {
                if (step.done() || !step.ready(timeOfDayMillis)) {
                    continue;
                }
                placeStep(step, pass, failures, now);
                if (step.waitingCount(now) > 0) {
                    tasksWaiting = true;
                    recordLackOfCapacity(step, failures);
                }
            }
        }
    }

    /**
     * Places the waiting tasks of a step; only those that a worker is reserved for if no other worker has capacity. Adds
     * the step to the failures if a task found no capacity, but not if it waits for its rack.
     */
    private void placeStep(Step step, PlacementPass pass, FailedPlacements failures, Instant now) {
        boolean onlyReserved = failures.covers(step);
        List<Task> tasks = step.tasks().stream()
                .filter(task -> task.waiting(now) && (!onlyReserved || task.hasReservation(now)))
                .toList();
        if (tasks.isEmpty()) {
            if (onlyReserved) {
                preemptBestEffortTasks(step, now);
            }
            return;
        }
        RackWaitPlanner.StepPlan plan = rackWaits.plan(step);
        if (plan.keepsAllWaiting(tasks)) {
            return;
        }
        boolean capacityExhausted = false;
        PlacementPass.Search search = pass.search(step);
        for (Task task : tasks) {
            if (capacityExhausted && !task.hasReservation(now)) {
                continue;
            }
            PlacementCandidate candidate = search.findBest(task);
            if (candidate == null) {
                capacityExhausted = true;
                requestCapacity(task, now);
                continue;
            }
            if (plan.leavesWaiting(task, candidate)) {
                continue;
            }
            place(task, candidate, now);
            search.onPlaced(candidate);
        }
        if (capacityExhausted) {
            failures.add(step);
            preemptBestEffortTasks(step, now);
        }
    }

    private void preemptBestEffortTasks(Step step, Instant now) {
        if (!context.gates().on(FeatureGate.PREEMPTION)) {
            return;
        }
        bestEffortPreemption.makeRoom(step, workerRegistry.workers(), worker -> usable(worker, now), now);
    }

    /**
     * Takes note of the priority of tasks that wait for capacity; those that wait only for their rack do not count.
     * Long-running tasks are placed first, whatever the priority of their queue.
     */
    private void recordLackOfCapacity(Step step, FailedPlacements failures) {
        if (failures.covers(step)) {
            int priority = step.spec().lasting()
                    ? Integer.MIN_VALUE
                    : step.job().queue().priority();
            waitingPriority = Math.min(waitingPriority, priority);
        }
    }

    private Run place(Task task, PlacementCandidate candidate, Instant now) {
        Run run = task.place(candidate.worker(), now);
        candidate.worker().add(run);
        rackWaits.onPlaced(task, candidate);
        commitLog.write(task, true, () -> startIfStillPlanned(run));
        return run;
    }

    /** Places the planned copies that the waiting tasks leave capacity for. */
    private void placeCopies(PlacementPass pass, Instant now) {
        for (CopyPlanner.Copy copy : copyPlanner.takePlanned(waitingPriority, now)) {
            PlacementPass.Search search = pass.search(copy.task().step());
            PlacementCandidate candidate = search.findBest(copy.task());
            if (candidate == null) {
                copyPlanner.postpone(now);
                continue;
            }
            CopyPlanner.logStart(copy, place(copy.task(), candidate, now));
            search.onPlaced(candidate);
        }
    }

    /** Places short tasks of jobs that have nothing at work although the cell has capacity. */
    private void placeStarved(PlacementPass pass, long timeOfDayMillis, Instant now) {
        if (!context.gates().on(FeatureGate.SLOW_STARTS)) {
            return;
        }
        List<Task> starved = starvedTaskPlanner.selectTasks(jobs.open(), pass, timeOfDayMillis, now);
        if (starved.isEmpty()) {
            return;
        }
        PlacementPass lastResort =
                placementPolicy.startPass(workerRegistry.workers(), worker -> workerRegistry.usable(worker, now), now);
        for (Task task : starved) {
            if (starvedTaskPlanner.mayStart(task.job(), now)) {
                placeStarved(task, lastResort, now);
            }
        }
    }

    private void placeStarved(Task task, PlacementPass pass, Instant now) {
        PlacementCandidate candidate = starvedTaskPlanner.chooseWorker(task, pass, now);
        if (candidate == null) {
            return;
        }
        Run run = place(task, candidate, now);
        starvedTaskPlanner.onStarted(task);
        boolean slow = task.step().spec().fills();
        if (slow) {
            run.markSlowStart();
        }
        candidate.refresh();
        LOGGER.atInfo().log(
                "event=%s task=%s run=%d worker=%s",
                slow ? "slow_start" : "last_resort_start",
                task.ref(),
                run.number(),
                candidate.worker().id());
    }

    /** Places the tasks that may have crashed several workers, and reserves workers for those that find none. */
    private void placeInIsolation(PlacementPass pass, long timeOfDayMillis, Instant now) {
        List<Task> tasks = crashAttribution.tasksAwaitingIsolation(now);
        if (tasks.isEmpty()) {
            isolationPlanner.reset();
            return;
        }
        Predicate<WorkerState> usable = worker -> usable(worker, now);
        Set<Job> idleJobs = jobs.open().stream()
                .filter(job -> IdleJob.of(job, this::answering, now, timeOfDayMillis, now) != null)
                .collect(Collectors.toCollection(LinkedHashSet::new));
        isolationPlanner.startPass(waitingSteps(idleJobs, timeOfDayMillis, now), workerRegistry.workers(), usable, now);
        for (Task task : IsolationPlanner.order(tasks, idleJobs::contains)) {
            PlacementPass.Search search = pass.search(task.step());
            PlacementCandidate candidate = search.findBest(
                    task, worker -> worker.reservedFor(now) == task || isolationPlanner.mayClose(worker, now));
            if (candidate == null) {
                isolationPlanner.reserve(task, workerRegistry.workers(), usable, now);
                tasksWaiting = true;
            } else {
                place(task, candidate, now);
                isolationPlanner.onClosed(candidate.worker());
                search.onPlaced(candidate);
            }
        }
    }

    private static List<Step> waitingSteps(Collection<Job> jobs, long timeOfDayMillis, Instant now) {
        return jobs.stream()
                .flatMap(job -> job.occurrences().stream())
                .flatMap(List::stream)
                .filter(step -> !step.done() && step.ready(timeOfDayMillis) && step.waitingCount(now) > 0)
                .toList();
    }

    private void requestCapacity(Task task, Instant now) {
        if (task.step().spec().lasting()) {
            preemptionPlanner
                    .reserveOrPreempt(task, workerRegistry.workers(), worker -> usable(worker, now), now)
                    .ifPresent(delay -> context.schedule(delay, this::requestPass));
        }
    }

    /** Returns what keeps all tasks off a worker now, or {@link PlacementObstacle#NONE}. */
    PlacementObstacle obstacle(WorkerState worker) {
        return obstacle(worker, context.now());
    }

    private PlacementObstacle obstacle(WorkerState worker, Instant now) {
        PlacementObstacle obstacle = workerRegistry.obstacle(worker, now);
        boolean quarantined = obstacle == PlacementObstacle.NONE && health.quarantinedForAll(worker.id(), now);
        return quarantined ? PlacementObstacle.QUARANTINED : obstacle;
    }

    private boolean answering(WorkerState worker) {
        return workerRegistry.answering(worker);
    }

    private boolean usable(WorkerState worker, Instant now) {
        return obstacle(worker, now) == PlacementObstacle.NONE;
    }

    private void startIfStillPlanned(Run run) {
        Task task = run.task();
        if (!task.hasRun(run) || run.phase() != RunPhase.PLANNED) {
            return;
        }
        if (!mayAct.getAsBoolean() || !workerRegistry.usable(run.worker(), context.now())) {
            LOGGER.atInfo().log(
                    "event=start_dropped task=%s run=%d worker=%s",
                    task.ref(), run.number(), run.worker().id());
            if (run == task.copy()) {
                copyPlanner.recordOutcome(CopyOutcome.ENDED);
            }
            run.releaseWithoutEnd(context.now());
            passRequested = true;
            return;
        }
        LOGGER.atInfo().log(
                "event=start task=%s run=%d worker=%s",
                task.ref(), run.number(), run.worker().id());
        task.job().markStarted();
        orderSender.start(run);
        workerRegistry.pollSoon(run.worker());
    }
}
