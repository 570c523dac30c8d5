package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.flamingopitch.scheduler.model.Resources;

/**
 * Makes room for a lasting task that finds none: keeps one worker free for it and stops there what is not lasting, the
 * youngest first. Answers workers that are full of short tasks, which would take each gap before a larger task fits.
 */
final class RoomMaker {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** How long a worker is kept free; a stop takes less than a second. */
    private static final Duration KEEP_TIME = Duration.ofSeconds(2);

    private final OrderDesk orders;

    private final Placement placement;

    RoomMaker(OrderDesk orders, Placement placement) {
        this.orders = orders;
        this.placement = placement;
    }

    /** Makes room for a task, unless that is under way. */
    void makeRoom(Task task, Collection<WorkerState> workers, Predicate<WorkerState> usable, Instant now) {
        boolean underWay = workers.stream().anyMatch(worker -> worker.keptFor(now) == task);
        if (underWay) {
            return;
        }
        WorkerState best = null;
        List<Run> cheapest = null;
        for (WorkerState worker : workers) {
            boolean candidate = usable.test(worker) && worker.keptFor(now) == null;
            List<Run> victims = candidate && placement.permits(task, worker) ? victims(task, worker) : null;
            if (victims != null && (cheapest == null || victims.size() < cheapest.size())) {
                best = worker;
                cheapest = victims;
            }
        }
        if (best == null) {
            return;
        }
        best.keepFor(task, now.plus(KEEP_TIME));
        LOGGER.atInfo().log("event=room_made task=%s worker=%s stopped=%d", task.ref(), best.id(), cheapest.size());
        cheapest.forEach(orders::stop);
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
