package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingopitch.scheduler.cell.model.StepSpec;

/**
 * Slows tasks that fill where a serving task on the same worker would miss its response time, those that disturb most
 * first, and lets them speed up again when there is slack to spare; those that would stand still go elsewhere. Answers
 * interference that shows only in lagging figures.
 */
final class PaceControl {

    /** Slack that each serving task keeps; it misses its target at 1, and its own load swings. */
    static final double KEPT_SLACK = 1.4;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int FULL = 100;

    private static final int[] LEVELS = {FULL, 50, 25};

    /** A serving task that misses its target for this long is believed, whatever its single figures are worth. */
    private static final Duration MISSED_TIME = Duration.ofMillis(250);

    /**
     * After this long everything that fills beside it is held until the serving task is clearly under its target: the
     * platform allows no more than 4 s on end, and figures come up to 0.8 s apart and half a second late.
     */
    private static final Duration PRESSED_TIME = Duration.ofMillis(1_500);

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
        boolean missed = false;
        boolean pressed = false;
        for (Run run : worker.runs()) {
            if (run.task().step().spec().fills() && run.phase() == RunPhase.RUNNING) {
                fills.add(run);
            } else if (Interference.slack(run) > 0) {
                missed |= run.missedFor(MISSED_TIME, now);
                pressed |= run.pressedFor(PRESSED_TIME, now);
                slacks.put(run, interference.alone(run, now));
            }
        }
        if (fills.isEmpty()) {
            return;
        }
        fills.sort(Comparator.comparingDouble(fill -> highestCost(fill, slacks)));
        Map<Run, Integer> levels = levels(fills, slacks);
        Set<Run> suspects = missed ? suspects(fills, slacks.keySet(), levels) : Set.of();
        for (Run fill : fills) {
            if (misplaced(fill, slacks.keySet())) {
                displace(fill);
            } else {
                set(fill, pressed || suspects.contains(fill) ? 0 : levels.get(fill), now);
            }
        }
    }

    /**
     * Returns the tasks to hold when a serving task misses its target although the estimates allow them all: those of
     * which it is not known what they do; without any, all.
     */
    private Set<Run> suspects(List<Run> fills, Set<Run> servings, Map<Run, Integer> levels) {
        Set<Run> unknown = new HashSet<>();
        for (Run fill : fills) {
            StepSpec spec = fill.task().step().spec();
            if (servings.stream().anyMatch(serving -> !interference.known(serving, spec))) {
                unknown.add(fill);
            }
        }
        boolean held = levels.values().stream().anyMatch(level -> level < FULL);
        if (!unknown.isEmpty() || held) {
            return unknown;
        }
        return Set.copyOf(fills);
    }

    /** Returns the share at which each task may work, those that disturb least first. */
    private Map<Run, Integer> levels(List<Run> fills, Map<Run, Double> slacks) {
        Map<Run, Double> left = new HashMap<>(slacks);
        Map<Run, Integer> levels = new HashMap<>();
        for (Run fill : fills) {
            int level = highestLevel(fill, left);
            levels.put(fill, level);
            left.replaceAll((serving, slack) -> slack - interference.fullCost(serving, fill) * level / FULL);
        }
        return levels;
    }

    private double highestCost(Run fill, Map<Run, Double> slacks) {
        return slacks.keySet().stream()
                .mapToDouble(serving -> interference.fullCost(serving, fill))
                .max()
                .orElse(0);
    }

    private int highestLevel(Run fill, Map<Run, Double> slacks) {
        for (int level : LEVELS) {
            if (slacks.entrySet().stream().allMatch(each -> tolerates(each.getKey(), each.getValue(), fill, level))) {
                return level;
            }
        }
        return 0;
    }

    private boolean tolerates(Run serving, double slack, Run fill, int level) {
        double cost = interference.fullCost(serving, fill) * level / FULL;
        return slack - cost >= KEPT_SLACK || cost <= ServingSlack.HARMLESS;
    }

    /** Tells whether a task is known to disturb a serving one too much under an average load, even when slowed. */
    private boolean misplaced(Run fill, Collection<Run> servings) {
        int lowest = LEVELS[LEVELS.length - 1];
        return servings.stream()
                .filter(serving ->
                        interference.known(serving, fill.task().step().spec()))
                .anyMatch(
                        serving -> interference.baseline(serving) - interference.fullCost(serving, fill) * lowest / FULL
                                < KEPT_SLACK);
    }

    private void set(Run fill, int level, Instant now) {
        boolean raise = level > fill.pacedTo() && fill.pacedTo() >= 0;
        if (raise && now.isBefore(fill.pacedAt().plus(RAISE_INTERVAL))) {
            return;
        }
        if (level == 0 && fill.pacedTo() == 0 && !now.isBefore(fill.pacedAt().plus(STANDSTILL))) {
            displace(fill);
            return;
        }
        if (level != fill.pacedTo()) {
            LOGGER.atFine().log(
                    "event=paced task=%s run=%d level=%d", fill.task().ref(), fill.number(), level);
            orders.pace(fill, level);
        }
    }

    private void displace(Run fill) {
        LOGGER.atInfo().log(
                "event=displaced task=%s run=%d worker=%s",
                fill.task().ref(), fill.number(), fill.worker().id());
        orders.stop(fill);
    }
}
