package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Slows tasks that fill where a serving task on the same worker would miss its response time, those that disturb most
 * first, and lets them speed up again when there is slack to spare; those that would stand still go elsewhere. Answers
 * interference that shows only in lagging figures.
 */
final class PaceControl {

    /** Slack that each serving task keeps; it misses its target at 1, and its own load swings. */
    static final double KEPT_SLACK = 1.25;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int FULL = 100;

    private static final int[] LEVELS = {FULL, 50, 25};

    /** Speeds up at most this often, so that the figures can follow. */
    private static final Duration RAISE_INTERVAL = Duration.ofMillis(700);

    /** How long a task may stand still before it goes elsewhere. */
    private static final Duration STANDSTILL = Duration.ofMillis(1_200);

    private final OrderDesk orders;

    private final Interference interference;

    PaceControl(OrderDesk orders, Interference interference) {
        this.orders = orders;
        this.interference = interference;
    }

    /** Applies a worker's newest figures. */
    void apply(WorkerState worker, Instant now) {
        List<Run> fills = new ArrayList<>();
        Map<Run, Double> slacks = new HashMap<>();
        for (Run run : worker.runs()) {
            if (run.task().step().spec().fills() && run.phase() == RunPhase.RUNNING) {
                fills.add(run);
            } else if (Interference.slack(run) > 0) {
                slacks.put(run, Interference.slack(run));
            }
        }
        if (fills.isEmpty()) {
            return;
        }
        boolean missed = slacks.values().stream().anyMatch(slack -> slack < 1);
        slacks.replaceAll((serving, slack) -> slack + presentCost(serving, fills));
        fills.sort(Comparator.comparingDouble(fill -> highestCost(fill, slacks)));
        for (Run fill : fills) {
            int level = missed ? 0 : highestLevel(fill, slacks);
            set(fill, level, now);
            int applied = Math.max(0, fill.pacedTo());
            slacks.replaceAll((serving, slack) -> slack - interference.fullCost(serving, fill) * applied / FULL);
        }
    }

    private double presentCost(Run serving, List<Run> fills) {
        double sum = 0;
        for (Run fill : fills) {
            sum += interference.fullCost(serving, fill) * Math.max(0, fill.pacedTo()) / FULL;
        }
        return sum;
    }

    private double highestCost(Run fill, Map<Run, Double> slacks) {
        return slacks.keySet().stream()
                .mapToDouble(serving -> interference.fullCost(serving, fill))
                .max()
                .orElse(0);
    }

    private int highestLevel(Run fill, Map<Run, Double> slacks) {
        for (int level : LEVELS) {
            boolean tolerated = slacks.entrySet().stream()
                    .allMatch(each ->
                            each.getValue() - interference.fullCost(each.getKey(), fill) * level / FULL >= KEPT_SLACK);
            if (tolerated) {
                return level;
            }
        }
        return 0;
    }

    private void set(Run fill, int level, Instant now) {
        boolean raise = level > fill.pacedTo() && fill.pacedTo() >= 0;
        if (raise && now.isBefore(fill.pacedAt().plus(RAISE_INTERVAL))) {
            return;
        }
        if (level == 0 && fill.pacedTo() == 0 && !now.isBefore(fill.pacedAt().plus(STANDSTILL))) {
            LOGGER.atInfo().log(
                    "event=displaced task=%s run=%d worker=%s",
                    fill.task().ref(), fill.number(), fill.worker().id());
            orders.stop(fill);
            return;
        }
        if (level != fill.pacedTo()) {
            LOGGER.atFine().log(
                    "event=paced task=%s run=%d level=%d", fill.task().ref(), fill.number(), level);
            orders.pace(fill, level);
        }
    }
}
