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
 * Makes room for a lasting task that finds none: keeps one worker free for it, so that no other task takes the gaps that
 * open there, and stops what is not lasting only if that takes too long. Answers workers that are full of short tasks,
 * which would take each gap before a larger task fits.
 */
final class RoomMaker {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** How long short tasks may go on to their end: the platform counts a lasting task as lost after 3 s with room. */
    private static final Duration DRAIN_TIME = Duration.ofMillis(1_500);

    /** How long a worker is kept free in all; a stop takes less than a second. */
    private static final Duration KEEP_TIME = Duration.ofMillis(3_500);

    private final OrderDesk orders;

    private final Placement placement;

    RoomMaker(OrderDesk orders, Placement placement) {
        this.orders = orders;
        this.placement = placement;
    }

    /**
     * Makes room for a task, unless that is under way.
     *
     * @return how long to wait before this is to be called again, or nothing if it makes no difference
     */
    Optional<Duration> makeRoom(
            Task task, Collection<WorkerState> workers, Predicate<WorkerState> usable, Instant now) {
        for (WorkerState worker : workers) {
            if (worker.keptFor(now) == task) {
                stopIfSlow(task, worker, now);
                return Optional.empty();
            }
        }
        WorkerState best = null;
        List<Run> cheapest = null;
        for (WorkerState worker : workers) {
            boolean candidate = usable.test(worker) && worker.keptFor(now) == null;
            List<Run> victims = candidate && placement.permits(task.step(), worker) ? victims(task, worker) : null;
            if (victims != null && (cheapest == null || victims.size() < cheapest.size())) {
                best = worker;
                cheapest = victims;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        best.keepFor(task, now.plus(KEEP_TIME));
        LOGGER.atInfo().log("event=room_kept task=%s worker=%s runs=%d", task.ref(), best.id(), cheapest.size());
        return Optional.of(DRAIN_TIME);
    }

    private void stopIfSlow(Task task, WorkerState worker, Instant now) {
        Instant keptSince = worker.keptUntil().minus(KEEP_TIME);
        List<Run> victims = victims(task, worker);
        if (victims != null && !victims.isEmpty() && !now.isBefore(keptSince.plus(DRAIN_TIME))) {
            LOGGER.atInfo().log(
                    "event=room_made task=%s worker=%s stopped=%d", task.ref(), worker.id(), victims.size());
            victims.forEach(orders::stop);
        }
    }

    /** Returns the runs to stop so that the task fits, or null if it cannot fit. */
    private static List<Run> victims(Task task, WorkerState worker) {
        List<Run> candidates = new ArrayList<>();
        for (Run run : worker.runs()) {
            boolean stoppable = run.phase() == RunPhase.RUNNING || run.phase() == RunPhase.SENT;
            if (stoppable && !run.task().step().spec().lasting()) {
                candidates.add(run);
            }
        }
        candidates.sort(Comparator.comparing(Run::placedAt).reversed());
        Resources free = worker.freeSoon();
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
}
