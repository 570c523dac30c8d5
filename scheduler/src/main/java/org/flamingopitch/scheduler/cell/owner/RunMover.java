package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.flamingopitch.scheduler.cell.disruption.DisruptionBudget;
import org.flamingopitch.scheduler.cell.disruption.MoveReason;
import org.flamingopitch.scheduler.cell.disruption.StepAvailability;
import org.flamingopitch.scheduler.cell.feature.FeatureGate;
import org.flamingopitch.scheduler.cell.feature.FeatureGates;
import org.flamingopitch.scheduler.cell.port.OwnerMetrics;

/**
 * Moves long-running tasks off draining workers and out of evacuated data centres, and tasks whose run has stalled to
 * other workers.
 */
final class RunMover {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * A run is stalled if it is overdue by this time (it took twice the expected duration and this time) and has made
     * no progress for this time.
     */
    private static final Duration STALL_TIMEOUT = Duration.ofMillis(2_500);

    private static final int FULL_SPEED_PERCENT = 100;

    /** How long the target of a move stays reserved; a stop takes less than a second. */
    private static final Duration RESERVATION_DURATION = Duration.ofMillis(3_500);

    /**
     * Bounds the processor time: a search looks at all workers. Evacuating a data centre with a thousand steps then takes
     * 25 s, as each step moves one task at a time anyway.
     */
    private static final int MAX_SEARCHES_PER_TICK = 2;

    /** How long tasks are not searched a target for after no worker had capacity for one with at most their demand. */
    private static final Duration FAILED_SEARCH_DELAY = Duration.ofSeconds(1);

    private final OwnerMetrics metrics;

    private final WorkerOrderSender orderSender;

    private final WorkerRegistry workerRegistry;

    private final LearnedStatistics statistics;

    private final WorkerHealth health;

    private final PlacementPolicy placementPolicy;

    private final FeatureGates gates;

    /** The steps whose tasks were counted in this tick, without those whose counts have changed since. */
    private final Map<Step, StepAvailability> availabilities = new HashMap<>();

    private final DisruptionBudget budget = new DisruptionBudget();

    private FailedPlacements failedSearches = new FailedPlacements();

    /** The steps of the failed searches, since a failure under a limit of tasks per worker is not among the placements. */
    private final Set<Step> stepsWithoutTarget = new HashSet<>();

    private Instant failedSearchesSince = Instant.MIN;

    private int searchesLeft;

    RunMover(
            OwnerMetrics metrics,
            WorkerOrderSender orderSender,
            WorkerRegistry workerRegistry,
            LearnedStatistics statistics,
            WorkerHealth health,
            PlacementPolicy placementPolicy,
            FeatureGates gates) {
        this.gates = gates;
        this.metrics = metrics;
        this.orderSender = orderSender;
        this.workerRegistry = workerRegistry;
        this.statistics = statistics;
        this.health = health;
        this.placementPolicy = placementPolicy;
    }

    /** Begins a pass over all runs. */
    void startTick(Instant now) {
        availabilities.clear();
        searchesLeft = MAX_SEARCHES_PER_TICK;
        if (!now.isBefore(failedSearchesSince.plus(FAILED_SEARCH_DELAY))) {
            failedSearches = new FailedPlacements();
            stepsWithoutTarget.clear();
            failedSearchesSince = now;
        }
    }

    /**
     * Stops a run so that its task is placed on another worker: its worker drains, its data centre is under evacuation,
     * or it is stalled.
     */
    void moveIfRequired(Run run, Instant now) {
        if (run.phase() != RunPhase.RUNNING || !run.task().job().open()) {
            return;
        }
        if (run.task().step().spec().lasting()) {
            if (run.worker().draining()) {
                moveOffDrainingWorker(run, now);
            } else if (workerRegistry.evacuated(run.worker())) {
                moveOutOfDataCentre(run, now);
            }
            return;
        }
        if (gates.on(FeatureGate.STALL_DETECTION)) {
            stopIfStalled(run, now);
        }
    }

    /** Moves a long-running task if the budget of its step permits it, or if its worker ends it soon anyway. */
    private void moveOffDrainingWorker(Run run, Instant now) {
        WorkerState worker = run.worker();
        if (withinBudget(run) || budget.endsSoon(worker.remainingTime(now), worker.drainingFor(now))) {
            move(run, MoveReason.DRAINING);
        } else {
            defer(run);
        }
    }

    /** Returns whether the budget permits to stop a long-running run, at any time between two passes over all runs. */
    boolean mayStop(Run run) {
        availabilities.remove(run.task().step());
        return withinBudget(run);
    }

    /**
     * Returns whether the budget permits to stop a long-running run. It permits to stop one that is known not to be at
     * work, as that takes down no further task; a missed poll says nothing about the task.
     */
    private boolean withinBudget(Run run) {
        StepAvailability availability = availability(run.task().step());
        boolean knownDown =
                workerRegistry.answering(run.worker()) && !run.task().atWork() && availability.unreported() == 0;
        return knownDown || budget.permits(availability);
    }

    private boolean atWork(Run run) {
        return run.task().atWork() && workerRegistry.answering(run.worker());
    }

    private void defer(Run run) {
        if (run.deferMove()) {
            metrics.recordDeferredMove();
        }
    }

    /** Moves a long-running task if no other task of its step is down and a worker can take it over. */
    private void moveOutOfDataCentre(Run run, Instant now) {
        Task task = run.task();
        int othersUnavailable = availability(task.step()).unavailable() - (atWork(run) ? 0 : 1);
        if (othersUnavailable > 0 || !withinBudget(run) || searchesLeft == 0 || searchFails(task.step())) {
            defer(run);
            return;
        }
        WorkerState target = findTarget(task, now);
        if (target == null) {
            failedSearches.add(task.step());
            stepsWithoutTarget.add(task.step());
            defer(run);
            return;
        }
        target.reserveFor(task, now.plus(RESERVATION_DURATION));
        task.markMoving();
        move(run, MoveReason.EVACUATION);
    }

    private void move(Run run, MoveReason reason) {
        Step step = run.task().step();
        StepAvailability availability = availability(step);
        LOGGER.atInfo().log(
                "event=evacuated task=%s run=%d worker=%s reason=%s unavailable=%d max=%d",
                run.task().ref(),
                run.number(),
                run.worker().id(),
                reason.label(),
                availability.unavailable(),
                availability.maxUnavailable());
        metrics.recordMove(reason);
        orderSender.stop(run);
        availabilities.remove(step);
    }

    private boolean searchFails(Step step) {
        return stepsWithoutTarget.contains(step) || failedSearches.covers(step);
    }

    private StepAvailability availability(Step step) {
        return availabilities.computeIfAbsent(step, key -> key.availability(workerRegistry::answering));
    }

    /** Returns the best worker that has free capacity for a long-running task and where it meets its target, or null. */
    private WorkerState findTarget(Task task, Instant now) {
        searchesLeft--;
        PlacementPass pass = placementPolicy.startPass(
                workerRegistry.workers(), worker -> canTakeOver(task.step(), worker, now), now);
        PlacementCandidate candidate = pass.search(task.step()).findBest(task);
        return candidate == null ? null : candidate.worker();
    }

    private boolean canTakeOver(Step step, WorkerState worker, Instant now) {
        if (!workerRegistry.usable(worker, now)
                || worker.reservedFor(now) != null
                || !step.spec().reserved().fitsInto(worker.free())
                || worker.entry().warmUpRemainingMillis() > 0
                || health.quarantined(worker.id(), now)) {
            return false;
        }
        return !step.spec().latencyCritical() || statistics.interference().predictHeadroom(step, worker, now) >= 1;
    }

    private void stopIfStalled(Run run, Instant now) {
        Duration expected = Duration.ofMillis(2
                * statistics
                        .estimates()
                        .expectedMillis(
                                run.task().job().queue().name(),
                                run.task().step().spec().estimateMillis()));
        boolean overdue = now.isAfter(run.placedAt().plus(expected).plus(STALL_TIMEOUT));
        boolean stalled = run.withoutProgressFor(STALL_TIMEOUT) && workerRegistry.answering(run.worker());
        boolean throttled = run.throttledToPercent() != FULL_SPEED_PERCENT;
        if (overdue && stalled && !throttled) {
            LOGGER.atWarning().log(
                    "event=stalled task=%s run=%d worker=%s percent=%.0f",
                    run.task().ref(), run.number(), run.worker().id(), run.progressPercent());
            run.task().avoid(run.worker().id());
            health.quarantine(run.worker().id(), now);
            orderSender.stop(run);
        }
    }
}
