package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.flamingopitch.scheduler.cell.feature.FeatureGate;
import org.flamingopitch.scheduler.cell.feature.FeatureGates;
import org.flamingopitch.scheduler.cell.model.StepSpec;

/**
 * Throttles best-effort tasks where a latency-critical task on the same worker would miss its response time target,
 * those that interfere most first, and raises their speed again when there is headroom. Tasks that would stay paused
 * are moved to another worker. The decisions rely on measurements that arrive late.
 */
final class ThrottleController {

    /**
     * Headroom ratio (response time target divided by the measured tail) to keep for each latency-critical task: it
     * misses its target below 1, and its own load varies.
     */
    static final double TARGET_HEADROOM = 1.4;

    static final int FULL_SPEED_PERCENT = 100;

    static final int LOWEST_SPEED_PERCENT = 25;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Speeds in percent at which a best-effort task may run; below the lowest it is paused. */
    private static final int[] SPEED_LEVELS = {FULL_SPEED_PERCENT, 50, LOWEST_SPEED_PERCENT};

    /**
     * A latency-critical task whose measurements have all missed the target for this long counts as missing it,
     * whatever the estimates of interference say.
     */
    private static final Duration MISSED_TARGET_DURATION = Duration.ofMillis(250);

    /**
     * After a latency-critical task may have been over its target for this long, all best-effort tasks beside it are
     * paused until it is clearly under the target. The platform allows a task to be over its target for at most 4 s
     * without a break, and measurements come up to 0.8 s apart and half a second late.
     */
    private static final Duration PAUSE_ALL_AFTER = Duration.ofMillis(1_500);

    /** Minimum time between two increases of a task's speed, so that measurements show the effect of the first. */
    private static final Duration MIN_RAISE_INTERVAL = Duration.ofMillis(700);

    /** How long a task may be paused before it is moved to another worker. */
    private static final Duration MAX_PAUSE_DURATION = Duration.ofMillis(1_200);

    /** The same for a task that no other worker could take either; the load of the tasks beside it varies over seconds. */
    private static final Duration MAX_PAUSE_AFTER_SLOW_START = Duration.ofSeconds(6);

    private final WorkerOrderSender orderSender;

    private final InterferenceEstimator interference;

    /** Whether a long-running best-effort run may be stopped now. */
    private final Predicate<Run> mayStop;

    private final FeatureGates gates;

    ThrottleController(
            WorkerOrderSender orderSender,
            InterferenceEstimator interference,
            Predicate<Run> mayStop,
            FeatureGates gates) {
        this.gates = gates;
        this.orderSender = orderSender;
        this.interference = interference;
        this.mayStop = mayStop;
    }

    /** Sets the speeds of the best-effort tasks on a worker from its newest measurements. */
    void adjustThrottling(WorkerState worker, Instant now) {
        List<Run> bestEffortRuns = new ArrayList<>();
        Map<Run, Double> headrooms = new LinkedHashMap<>();
        boolean targetMissed = false;
        boolean pauseAll = false;
        for (Run run : worker.runs()) {
            if (run.task().step().spec().fills() && run.phase() == RunPhase.RUNNING) {
                bestEffortRuns.add(run);
            } else if (InterferenceEstimator.measuredHeadroom(run) > 0) {
                targetMissed |= run.overTargetFor(MISSED_TARGET_DURATION, now);
                pauseAll |= run.possiblyOverTargetFor(PAUSE_ALL_AFTER, now);
                headrooms.put(run, interference.headroomAlone(run, now));
            }
        }
        if (bestEffortRuns.isEmpty()) {
            return;
        }
        bestEffortRuns.sort(Comparator.comparingDouble(bestEffort -> highestCost(bestEffort, headrooms)));
        Map<Run, Integer> levels = computeLevels(bestEffortRuns, headrooms);
        Set<Run> runsToPause = targetMissed ? selectRunsToPause(bestEffortRuns, headrooms.keySet(), levels) : Set.of();
        for (Run bestEffort : bestEffortRuns) {
            if (mustMove(bestEffort, headrooms.keySet())) {
                stopToMove(bestEffort);
            } else {
                applyLevel(bestEffort, pauseAll || runsToPause.contains(bestEffort) ? 0 : levels.get(bestEffort), now);
            }
        }
    }

    /**
     * Returns the runs to pause if a latency-critical task misses its target although the estimates allow their speeds:
     * those with unknown cost. If there are none and no run is throttled already, all.
     */
    private Set<Run> selectRunsToPause(
            List<Run> bestEffortRuns, Set<Run> latencyCriticalRuns, Map<Run, Integer> levels) {
        Set<Run> unknownCostRuns = new LinkedHashSet<>();
        for (Run bestEffort : bestEffortRuns) {
            StepSpec spec = bestEffort.task().step().spec();
            if (latencyCriticalRuns.stream()
                    .anyMatch(latencyCritical -> !interference.isCostKnown(latencyCritical, spec))) {
                unknownCostRuns.add(bestEffort);
            }
        }
        boolean anyThrottled = levels.values().stream().anyMatch(level -> level < FULL_SPEED_PERCENT);
        if (!unknownCostRuns.isEmpty() || anyThrottled) {
            return unknownCostRuns;
        }
        return new LinkedHashSet<>(bestEffortRuns);
    }

    /**
     * Returns the speed in percent for each run. The runs are in ascending order of interference, so that those that
     * interfere most are throttled first.
     */
    private Map<Run, Integer> computeLevels(List<Run> bestEffortRuns, Map<Run, Double> headrooms) {
        Map<Run, Double> remaining = new LinkedHashMap<>(headrooms);
        Map<Run, Integer> levels = new LinkedHashMap<>();
        for (Run bestEffort : bestEffortRuns) {
            int level = highestLevel(bestEffort, remaining);
            levels.put(bestEffort, level);
            remaining.replaceAll((latencyCritical, headroom) ->
                    headroom - interference.fullSpeedCost(latencyCritical, bestEffort) * level / FULL_SPEED_PERCENT);
        }
        return levels;
    }

    private double highestCost(Run bestEffort, Map<Run, Double> headrooms) {
        return headrooms.keySet().stream()
                .mapToDouble(latencyCritical -> interference.fullSpeedCost(latencyCritical, bestEffort))
                .max()
                .orElse(0);
    }

    private int highestLevel(Run bestEffort, Map<Run, Double> headrooms) {
        if (!gates.on(FeatureGate.PREDICTIVE_THROTTLING)) {
            return FULL_SPEED_PERCENT;
        }
        for (int level : SPEED_LEVELS) {
            if (headrooms.entrySet().stream()
                    .allMatch(entry -> tolerates(entry.getKey(), entry.getValue(), bestEffort, level))) {
                return level;
            }
        }
        return 0;
    }

    private boolean tolerates(Run latencyCritical, double headroom, Run bestEffort, int level) {
        double cost = interference.fullSpeedCost(latencyCritical, bestEffort) * level / FULL_SPEED_PERCENT;
        return headroom - cost >= TARGET_HEADROOM || cost <= LatencyHeadroom.NEGLIGIBLE_COST;
    }

    /**
     * Returns whether a run is known to interfere too much with a latency-critical task at average load even at the
     * lowest speed.
     */
    private boolean mustMove(Run bestEffort, Collection<Run> latencyCriticalRuns) {
        if (bestEffort.slowStart()) {
            return false;
        }
        return latencyCriticalRuns.stream()
                .filter(latencyCritical -> interference.isCostKnown(
                        latencyCritical, bestEffort.task().step().spec()))
                .anyMatch(latencyCritical -> interferesTooMuch(latencyCritical, bestEffort));
    }

    /** Negligible interference is judged at full speed, as placement does; a task must not stay only to be slow. */
    private boolean interferesTooMuch(Run latencyCritical, Run bestEffort) {
        double cost = interference.fullSpeedCost(latencyCritical, bestEffort);
        double remaining = interference.baseline(latencyCritical) - cost * LOWEST_SPEED_PERCENT / FULL_SPEED_PERCENT;
        return cost > LatencyHeadroom.NEGLIGIBLE_COST && remaining < TARGET_HEADROOM;
    }

    private static Duration maxPause(Run bestEffort) {
        return bestEffort.slowStart() ? MAX_PAUSE_AFTER_SLOW_START : MAX_PAUSE_DURATION;
    }

    private void applyLevel(Run bestEffort, int level, Instant now) {
        boolean isRaise = level > bestEffort.throttledToPercent() && bestEffort.throttledToPercent() >= 0;
        if (isRaise && now.isBefore(bestEffort.throttledAt().plus(MIN_RAISE_INTERVAL))) {
            return;
        }
        if (level == 0
                && bestEffort.throttledToPercent() == 0
                && !now.isBefore(bestEffort.throttledAt().plus(maxPause(bestEffort)))) {
            stopToMove(bestEffort);
            return;
        }
        if (level != bestEffort.throttledToPercent()) {
            LOGGER.atFine().log(
                    "event=paced task=%s run=%d level=%d", bestEffort.task().ref(), bestEffort.number(), level);
            orderSender.throttle(bestEffort, level);
        }
    }

    /** Stops a run so that it is placed elsewhere, or pauses it while too many tasks of its step are down for a stop. */
    private void stopToMove(Run bestEffort) {
        boolean lastingAndNeeded = bestEffort.task().step().spec().lasting() && !mayStop.test(bestEffort);
        if (lastingAndNeeded || !gates.on(FeatureGate.DISPLACEMENT)) {
            if (bestEffort.throttledToPercent() != 0) {
                orderSender.throttle(bestEffort, 0);
            }
            return;
        }
        LOGGER.atInfo().log(
                "event=displaced task=%s run=%d worker=%s",
                bestEffort.task().ref(),
                bestEffort.number(),
                bestEffort.worker().id());
        orderSender.stop(bestEffort);
    }
}
