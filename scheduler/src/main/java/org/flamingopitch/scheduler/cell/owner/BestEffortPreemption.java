package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import org.flamingopitch.scheduler.cell.admission.PreemptionRule;
import org.flamingopitch.scheduler.cell.admission.PreemptionRule.Occupant;
import org.flamingopitch.scheduler.cell.admission.PreemptionRule.Outlook;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.port.OwnerMetrics;
import org.flamingopitch.scheduler.model.Resources;

/**
 * Stops best-effort tasks for waiting tasks of a higher priority that reserve processors and fit on no worker, and
 * reserves the workers for these until the stops have ended. {@link PreemptionRule} decides.
 */
final class BestEffortPreemption {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Minimum time between two plans, which look at the runs of all workers. A stop takes longer than this. */
    private static final Duration MIN_PLAN_INTERVAL = Duration.ofMillis(100);

    /** Steps that are considered in one plan. The steps that are placed first come first, the others in later plans. */
    private static final int MAX_STEPS_PER_PLAN = 4;

    /** Share of the workers that may be reserved at a time, since other tasks cannot use their free capacity. */
    private static final double MAX_RESERVED_SHARE = 0.1;

    /** Added to the longest time of a stop; then the stop counts as unanswered and the reservation ends. */
    private static final Duration RESERVATION_MARGIN = Duration.ofSeconds(1);

    private static final double FULL_SPEED_PERCENT = 100;

    private final WorkerOrderSender orderSender;

    private final PlacementPolicy placementPolicy;

    private final DurationEstimates estimates;

    private final CellTimings timings;

    private final OwnerMetrics metrics;

    private final List<Reservation> reservations = new ArrayList<>();

    private Instant plannedAt = Instant.MIN;

    /** Whether this pass may plan. */
    private boolean planDue;

    private int stepsOfPlan;

    /** Workers that a task of this plan waits for, or that are reserved by it. */
    private final List<WorkerState> claimed = new ArrayList<>();

    BestEffortPreemption(
            WorkerOrderSender orderSender,
            PlacementPolicy placementPolicy,
            DurationEstimates estimates,
            CellTimings timings,
            OwnerMetrics metrics) {
        this.orderSender = orderSender;
        this.placementPolicy = placementPolicy;
        this.estimates = estimates;
        this.timings = timings;
        this.metrics = metrics;
    }

    /** Ends the reservations that are no longer of use: the stops have ended, or the worker cannot be used. */
    void startPass(Predicate<WorkerState> usable, Instant now) {
        reservations.removeIf(reservation -> {
            boolean held = reservation.worker().reservedFor(now) == reservation.task();
            boolean stopsEnded = reservation.triedSinceStop(now);
            if (held && (stopsEnded || !usable.test(reservation.worker()))) {
                reservation.worker().endReservation();
                held = false;
            }
            return !held;
        });
        planDue = !now.isBefore(plannedAt.plus(MIN_PLAN_INTERVAL));
        stepsOfPlan = 0;
        claimed.clear();
    }

    /** Preempts best-effort tasks for the waiting tasks of a step, which have found no worker in this pass. */
    void makeRoom(Step step, Collection<WorkerState> workers, Predicate<WorkerState> usable, Instant now) {
        boolean reservesProcessors =
                !step.spec().lasting() && step.spec().reserved().milliCores() > 0;
        if (!reservesProcessors
                || !planDue
                || stepsOfPlan >= MAX_STEPS_PER_PLAN
                || step.job().expired(now)) {
            return;
        }
        plannedAt = now;
        stepsOfPlan++;
        List<Candidate> candidates = new ArrayList<>();
        int usableCount = 0;
        boolean anyVictims = false;
        for (WorkerState worker : workers) {
            if (!worker.registered() || !usable.test(worker)) {
                continue;
            }
            usableCount++;
            // A worker with free capacity that the placement did not use is excluded for another reason.
            boolean available = !step.spec().reserved().fitsInto(worker.free())
                    && worker.reservedFor(now) == null
                    && !hasUnansweredStop(worker, now)
                    && !claimed.contains(worker)
                    && !placementPolicy.quarantined(worker, now)
                    && placementPolicy.permits(step, worker);
            if (available) {
                Outlook<Run> outlook = outlook(step, worker, now);
                candidates.add(new Candidate(worker, outlook));
                anyVictims |= !outlook.victims().isEmpty();
            }
        }
        if (!anyVictims) {
            return;
        }
        int maxReservations = Math.max(1, (int) (usableCount * MAX_RESERVED_SHARE));
        for (Task task : step.tasks()) {
            if (task.waiting(now) && !task.hasReservation(now) && !makeRoom(task, candidates, maxReservations, now)) {
                return;
            }
        }
    }

    /** Returns whether more tasks of the step may find room: this one waits for a worker or has preempted tasks there. */
    private boolean makeRoom(Task task, List<Candidate> candidates, int maxReservations, Instant now) {
        long stopMillis = timings.stopTimeout().toMillis();
        Candidate soonest = null;
        Candidate cheapest = null;
        for (Candidate candidate : candidates) {
            Outlook<Run> outlook = candidate.outlook();
            if (soonest == null || outlook.waitMillis() < soonest.outlook().waitMillis()) {
                soonest = candidate;
            }
            boolean cheaper = cheapest == null
                    || outlook.discardedWork() < cheapest.outlook().discardedWork();
            if (!outlook.victims().isEmpty() && cheaper) {
                cheapest = candidate;
            }
        }
        if (soonest == null) {
            return false;
        }
        long waitMillis = soonest.outlook().waitMillis();
        if (waitMillis <= stopMillis) {
            candidates.remove(soonest);
            claimed.add(soonest.worker());
            return true;
        }
        StepSpec spec = task.step().spec();
        long taskWork = spec.demand().milliCores()
                * estimates.expectedMillis(task.job().queue().name(), spec.estimateMillis());
        if (cheapest == null
                || reservations.size() >= maxReservations
                || !PreemptionRule.pays(waitMillis, stopMillis, taskWork, cheapest.outlook())) {
            return false;
        }
        candidates.remove(cheapest);
        claimed.add(cheapest.worker());
        preempt(task, cheapest, now);
        return true;
    }

    private void preempt(Task task, Candidate candidate, Instant now) {
        WorkerState worker = candidate.worker();
        List<Run> victims = new ArrayList<>();
        worker.reserveFor(task, now.plus(timings.stopTimeout()).plus(RESERVATION_MARGIN));
        for (Occupant<Run> victim : candidate.outlook().victims()) {
            Run run = victim.run();
            victims.add(run);
            LOGGER.atInfo().log(
                    "event=preempted task=%s run=%d worker=%s for=%s unsaved_ms=%d",
                    run.task().ref(), run.number(), worker.id(), task.ref(), unsavedMillis(run, now));
            metrics.recordPreemption();
            orderSender.stop(run);
        }
        reservations.add(new Reservation(worker, task, victims));
    }

    /** Returns whether a worker has not answered a stop in time; it would not answer another one either. */
    private boolean hasUnansweredStop(WorkerState worker, Instant now) {
        Instant latestStop = now.minus(timings.stopTimeout()).minus(RESERVATION_MARGIN);
        return worker.runs().stream()
                .anyMatch(run -> run.phase() == RunPhase.STOPPING
                        && run.orderOutcomeKnownAt() == null
                        && !run.phaseSince().isAfter(latestStop));
    }

    private Outlook<Run> outlook(Step step, WorkerState worker, Instant now) {
        Resources needed = step.spec().reserved();
        List<Occupant<Run>> occupants = new ArrayList<>();
        for (Run run : worker.runs()) {
            occupants.add(occupant(run, step.job().queue().priority(), now));
        }
        return PreemptionRule.outlook(needed, worker.free(), occupants);
    }

    private Occupant<Run> occupant(Run run, int priority, Instant now) {
        StepSpec spec = run.task().step().spec();
        boolean stoppable = run.phase() == RunPhase.RUNNING || run.phase() == RunPhase.SENT;
        boolean preemptible = stoppable
                && spec.fills()
                && !spec.lasting()
                && run.task().job().queue().priority() > priority;
        boolean throttled = run.throttledToPercent() >= 0 && run.throttledToPercent() < FULL_SPEED_PERCENT;
        long unsavedWork = preemptible ? unsavedMillis(run, now) * spec.demand().milliCores() : 0;
        return new Occupant<>(run, spec.reserved(), remainingMillis(run, now), preemptible, throttled, unsavedWork);
    }

    /** Returns the expected time until a run ends or is stopped. */
    private long remainingMillis(Run run, Instant now) {
        if (run.phase() == RunPhase.STOPPING) {
            Duration elapsed = Duration.between(run.phaseSince(), now);
            return Math.max(0, timings.stopTimeout().minus(elapsed).toMillis());
        }
        StepSpec spec = run.task().step().spec();
        if (spec.lasting()) {
            return PreemptionRule.NEVER;
        }
        long expectedMillis = expectedMillis(run);
        if (!spec.fills()) {
            // A run that is overdue is expected to take as long again as it is overdue.
            return Math.abs(
                    expectedMillis - Duration.between(run.placedAt(), now).toMillis());
        }
        if (run.throttledToPercent() == 0) {
            return PreemptionRule.NEVER;
        }
        double speed = run.throttledToPercent() < 0 ? 1 : run.throttledToPercent() / FULL_SPEED_PERCENT;
        return (long) (AdmissionControl.remainingMillis(run, expectedMillis, now) / speed);
    }

    /** Returns the time of work that the stop of a best-effort run discards. */
    private long unsavedMillis(Run run, Instant now) {
        if (run.task().job().expired(now)) {
            return 0;
        }
        double speed = run.throttledToPercent() < 0 ? 1 : run.throttledToPercent() / FULL_SPEED_PERCENT;
        double byElapsedTime = speed * Duration.between(run.placedAt(), now).toMillis();
        double byProgress = Math.min(1, run.progressPercent() / FULL_SPEED_PERCENT) * expectedMillis(run);
        return PreemptionRule.unsavedMillis(
                (long) Math.max(byElapsedTime, byProgress),
                run.task().step().spec().checkpointing(),
                timings.checkpointInterval().toMillis(),
                timings.restoreTime().toMillis());
    }

    private long expectedMillis(Run run) {
        return estimates.expectedMillis(
                run.task().job().queue().name(), run.task().step().spec().estimateMillis());
    }

    private record Candidate(WorkerState worker, Outlook<Run> outlook) {}

    /** A worker that is kept for a task until the victims have ended. */
    private static final class Reservation {

        private final WorkerState worker;

        private final Task task;

        private final List<Run> victims;

        private Instant stopsEndedAt;

        private Reservation(WorkerState worker, Task task, List<Run> victims) {
            this.worker = worker;
            this.task = task;
            this.victims = victims;
        }

        private WorkerState worker() {
            return worker;
        }

        private Task task() {
            return task;
        }

        /** Returns whether all victims had ended in an earlier pass, in which the task could have been placed. */
        private boolean triedSinceStop(Instant now) {
            if (stopsEndedAt != null) {
                return now.isAfter(stopsEndedAt);
            }
            if (victims.stream().noneMatch(worker.runs()::contains)) {
                stopsEndedAt = now;
            }
            return false;
        }
    }
}
