package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.flamingopitch.scheduler.cell.port.CellContext;

/** Finds workers for the tasks that wait, the most urgent jobs first, and starts them once that is recorded. */
final class TaskPlacer {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Placing looks at all jobs that wait, so that close changes are answered together. */
    private static final Duration INTERVAL = Duration.ofMillis(25);

    private final CellContext context;

    private final JobTable jobs;

    private final Placement placement;

    private final RoomMaker roomMaker;

    private final OrderDesk orders;

    private final WorkerHealth health;

    private final JobOrder order;

    private CommitLog log;

    private Fleet fleet;

    private BooleanSupplier mayAct = () -> false;

    private boolean wanted;

    private Instant placedAt = Instant.MIN;

    TaskPlacer(
            CellContext context,
            JobTable jobs,
            Placement placement,
            OrderDesk orders,
            WorkerHealth health,
            JobOrder order) {
        this.context = context;
        this.jobs = jobs;
        this.placement = placement;
        this.orders = orders;
        this.health = health;
        this.order = order;
        this.roomMaker = new RoomMaker(orders, placement);
    }

    /** Starts to place, after the records were read. */
    void begin(CommitLog newLog, Fleet newFleet, BooleanSupplier mayActNow) {
        log = newLog;
        fleet = newFleet;
        mayAct = mayActNow;
        wanted = true;
    }

    /** Asks for another look at the tasks that wait. */
    void request() {
        wanted = true;
    }

    /** Looks at the tasks that wait, if something changed since the last time. */
    void placeIfDue() {
        if (wanted && mayAct.getAsBoolean() && !context.now().isBefore(placedAt.plus(INTERVAL))) {
            placedAt = context.now();
            place();
        }
    }

    private void place() {
        wanted = false;
        Instant now = context.now();
        long timeOfDay = context.timeOfDayMillis();
        List<Job> waiting = new ArrayList<>();
        for (Job job : jobs.open()) {
            if (hasWaitingTask(job, timeOfDay, now)) {
                waiting.add(job);
            }
        }
        MissedRoom misses = new MissedRoom();
        PlacingPass pass = placement.begin(fleet.workers(), each -> usable(each, now), now);
        for (Job job : order.sort(waiting, now)) {
            placeJob(job, timeOfDay, misses, pass, now);
        }
    }

    private static boolean hasWaitingTask(Job job, long timeOfDay, Instant now) {
        for (List<Step> steps : job.occurrences()) {
            for (Step step : steps) {
                if (!step.done() && step.open(timeOfDay) && step.waitingCount(now) > 0) {
                    return true;
                }
            }
        }
        return false;
    }

    private void placeJob(Job job, long timeOfDay, MissedRoom misses, PlacingPass pass, Instant now) {
        boolean placed = false;
        for (List<Step> steps : job.occurrences()) {
            for (Step step : steps) {
                if (step.done() || !step.open(timeOfDay) || misses.covers(step)) {
                    continue;
                }
                placed |= placeStep(step, pass, now);
                if (step.waitingCount(now) > 0) {
                    misses.add(step);
                }
            }
        }
        if (placed) {
            log.write(job, true, null);
        }
    }

    private boolean placeStep(Step step, PlacingPass pass, Instant now) {
        boolean placed = false;
        PlacingPass.Search search = pass.search(step);
        for (Task task : step.tasks()) {
            if (!task.waiting(now)) {
                continue;
            }
            WorkerView view = search.best(task);
            if (view == null) {
                makeRoom(task, now);
                return placed;
            }
            Run run = task.place(view.worker(), now);
            view.worker().add(run);
            search.placed(view);
            log.write(task.job(), true, () -> startIfStillWanted(run));
            placed = true;
        }
        return placed;
    }

    private void makeRoom(Task task, Instant now) {
        if (task.step().spec().lasting()) {
            roomMaker
                    .makeRoom(task, fleet.workers(), each -> usable(each, now), now)
                    .ifPresent(delay -> context.schedule(delay, this::request));
        }
    }

    private boolean usable(WorkerState worker, Instant now) {
        return fleet.usable(worker, now) && !health.quarantined(worker.id(), now);
    }

    private void startIfStillWanted(Run run) {
        Task task = run.task();
        if (task.run() != run || run.phase() != RunPhase.PLANNED) {
            return;
        }
        if (!mayAct.getAsBoolean() || !fleet.usable(run.worker(), context.now())) {
            LOGGER.atInfo().log(
                    "event=start_dropped task=%s run=%d worker=%s",
                    task.ref(), run.number(), run.worker().id());
            run.release(context.now());
            wanted = true;
            return;
        }
        LOGGER.atInfo().log(
                "event=start task=%s run=%d worker=%s",
                task.ref(), run.number(), run.worker().id());
        task.job().markStarted();
        orders.start(run);
        fleet.hurry(run.worker());
    }
}
