package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.flamingopitch.scheduler.model.Resources;

/**
 * Frees capacity for a long-running task that fits on no worker: reserves one worker for it, so that no other task
 * takes the capacity that is released there, and stops tasks that are not long-running only if that takes too long.
 * Without the reservation, short tasks on a full worker take each gap before it is large enough for the task.
 */
final class PreemptionPlanner {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * How long a worker stays reserved before its short tasks are preempted, so that some of them can complete. The
     * platform counts a long-running task as lost 3 s after a worker has capacity for it.
     */
    private static final Duration PREEMPTION_DELAY = Duration.ofMillis(1_500);

    /** How long a worker stays reserved at most; a stop takes less than a second. */
    private static final Duration RESERVATION_DURATION = Duration.ofMillis(3_500);

    /** A worker that leaves a stop unanswered for this time may keep the run until its lease expires. */
    private static final Duration STOP_ANSWER_TIMEOUT = Duration.ofSeconds(1);

    private final WorkerOrderSender orderSender;

    private final PlacementPolicy placementPolicy;

    PreemptionPlanner(WorkerOrderSender orderSender, PlacementPolicy placementPolicy) {
        this.orderSender = orderSender;
        this.placementPolicy = placementPolicy;
    }

    /**
     * Reserves a worker for a task, or preempts tasks on the worker already reserved for it.
     *
     * @return the delay after which this is to be called again, or empty if another call makes no difference
     */
    Optional<Duration> reserveOrPreempt(
            Task task, Collection<WorkerState> workers, Predicate<WorkerState> usable, Instant now) {
        for (WorkerState worker : workers) {
            if (worker.reservedFor(now) == task) {
                return preemptIfDelayOver(task, worker, now);
            }
        }
        WorkerState bestWorker = null;
        List<Run> fewestVictims = null;
        for (WorkerState worker : workers) {
            boolean lacksCapacity =
                    worker.registered() && !task.step().spec().reserved().fitsInto(worker.free());
            boolean isCandidate = lacksCapacity && usable.test(worker) && worker.reservedFor(now) == null;
            List<Run> victims = isCandidate && placementPolicy.permits(task.step(), worker)
                    ? selectVictims(task, worker, now)
                    : null;
            if (victims != null && (fewestVictims == null || victims.size() < fewestVictims.size())) {
                bestWorker = worker;
                fewestVictims = victims;
            }
        }
        if (bestWorker == null) {
            return Optional.empty();
        }
        bestWorker.reserveFor(task, now.plus(RESERVATION_DURATION));
        LOGGER.atInfo().log(
                "event=room_kept task=%s worker=%s runs=%d", task.ref(), bestWorker.id(), fewestVictims.size());
        return Optional.of(PREEMPTION_DELAY);
    }

    /**
     * Stops runs if the delay is over. Ends the reservation if the task would not fit even then, as when stops stay
     * unanswered: it would keep other tasks off the worker, up to the 3 s after which the platform takes an idle job for
     * lost, for nothing.
     */
    private Optional<Duration> preemptIfDelayOver(Task task, WorkerState worker, Instant now) {
        Instant reservedSince = worker.reservedUntil().minus(RESERVATION_DURATION);
        List<Run> victims = selectVictims(task, worker, now);
        if (victims == null) {
            LOGGER.atInfo().log("event=room_given_up task=%s worker=%s", task.ref(), worker.id());
            worker.endReservation();
            return Optional.empty();
        }
        if (victims.isEmpty() || now.isBefore(reservedSince.plus(PREEMPTION_DELAY))) {
            return Optional.empty();
        }
        LOGGER.atInfo().log("event=room_made task=%s worker=%s stopped=%d", task.ref(), worker.id(), victims.size());
        victims.forEach(orderSender::stop);
        return Optional.of(STOP_ANSWER_TIMEOUT);
    }

    /** Returns the runs to stop so that the task fits, or null if it does not fit even then. */
    private static List<Run> selectVictims(Task task, WorkerState worker, Instant now) {
        List<Run> candidates = new ArrayList<>();
        for (Run run : worker.runs()) {
            boolean canStop = run.phase() == RunPhase.RUNNING || run.phase() == RunPhase.SENT;
            if (canStop && !run.task().step().spec().lasting() && freesWhatLacks(run, task, worker)) {
                candidates.add(run);
            }
        }
        candidates.sort(Comparator.comparing(Run::placedAt).reversed());
        Resources free = worker.freeAfterStops(now.minus(STOP_ANSWER_TIMEOUT));
        List<Run> victims = new ArrayList<>();
        for (Run run : candidates) {
            if (task.step().spec().reserved().fitsInto(free)) {
                return victims;
            }
            free = free.plus(run.task().step().spec().reserved());
            victims.add(run);
        }
        return task.step().spec().reserved().fitsInto(free) ? victims : null;
    }

    /** Returns whether the end of a run helps; that of a best-effort task frees no processor time. */
    private static boolean freesWhatLacks(Run run, Task task, WorkerState worker) {
        Resources needed = task.step().spec().reserved();
        Resources free = worker.free();
        boolean onlyProcessorTimeLacks =
                needed.memoryMegabytes() <= free.memoryMegabytes() && needed.accelerators() <= free.accelerators();
        return !onlyProcessorTimeLacks || !run.task().step().spec().fills();
    }
}
