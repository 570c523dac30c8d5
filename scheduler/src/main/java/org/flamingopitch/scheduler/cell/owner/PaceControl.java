package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.util.List;

/**
 * Slows tasks that fill while a serving task on the same worker misses its response time, and lets them speed up again
 * when it has room to spare. Answers interference that shows only in lagging figures.
 */
final class PaceControl {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Slows down before the target is missed. */
    private static final double HIGH = 0.9;

    /** Speeds up only well below it, so that the level does not swing. */
    private static final double LOW = 0.6;

    private static final int FULL = 100;

    private static final int STEP_UP = 25;

    /** A level below this is not worth its memory. */
    private static final int MIN_LEVEL = 20;

    private final OrderDesk orders;

    PaceControl(OrderDesk orders) {
        this.orders = orders;
    }

    /** Applies a worker's newest figures. */
    void apply(WorkerState worker) {
        double load = highestLoad(worker);
        int level = nextLevel(worker.fillLevel(), load);
        if (level != worker.fillLevel()) {
            LOGGER.atInfo().log(
                    "event=fill_level worker=%s level=%d before=%d load=%.2f",
                    worker.id(), level, worker.fillLevel(), load);
            worker.setFillLevel(level);
        }
        for (Run run : List.copyOf(worker.runs())) {
            boolean fills = run.task().step().spec().fills();
            if (fills && run.phase() == RunPhase.RUNNING && run.pacedTo() != level) {
                orders.pace(run, level);
            }
        }
    }

    static int nextLevel(int level, double load) {
        if (load > HIGH) {
            int lower = load > 1 ? 0 : level / 2;
            return lower < MIN_LEVEL ? 0 : lower;
        }
        return load < LOW ? Math.min(FULL, level + STEP_UP) : level;
    }

    /** Returns the highest ratio of a response time to its target. */
    private static double highestLoad(WorkerState worker) {
        double highest = 0;
        for (Run run : worker.runs()) {
            boolean serving = run.task().step().spec().serving();
            if (serving && run.phase() == RunPhase.RUNNING && run.figure() >= 0) {
                highest = Math.max(
                        highest, run.figure() / run.task().step().spec().targetMillis());
            }
        }
        return highest;
    }
}
