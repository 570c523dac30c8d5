package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.flamingopitch.scheduler.cell.model.StepSpec;

/**
 * History of the best-effort tasks on a worker during the time that its measurements cover, so that a measurement that
 * arrives late is compared with the tasks that influenced it and not with those that run now.
 */
final class BestEffortHistory {

    /** Time that a worker's measurement covers, as in the platform's protocol. */
    private static final Duration MEASUREMENT_WINDOW = Duration.ofMillis(500);

    /** Delay of a report, including the time until a change of speed shows in the measurements. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(100);

    /** How long past intervals are kept; exceeds the time that the callers of this class look back. */
    private static final Duration RETENTION_TIME = Duration.ofSeconds(1);

    private static final double FULL_SPEED_PERCENT = 100;

    private final Deque<SpeedInterval> pastIntervals = new ArrayDeque<>();

    /** In order of their starts, so that sums of shares do not depend on identity. */
    private final Set<Run> currentRuns = new LinkedHashSet<>();

    void recordStart(Run run) {
        currentRuns.add(run);
    }

    /** Records that the speed of a run is about to change. Ignored for a run that has ended. */
    void recordThrottleChange(Run run, Instant now) {
        if (currentRuns.contains(run)) {
            pastIntervals.add(new SpeedInterval(
                    run.task().step().spec(), run.throttledToPercent(), run.throttleLevelSince(), now));
        }
    }

    void recordEnd(Run run, Instant now) {
        recordThrottleChange(run, now);
        currentRuns.remove(run);
    }

    /**
     * Returns the average share of the worker that each image used during the time that the newest measurements cover.
     */
    Map<String, Double> averageShares(long capacityMilliCores, Instant now) {
        Instant to = now.minus(REPORT_DELAY);
        Instant from = to.minus(MEASUREMENT_WINDOW);
        while (!pastIntervals.isEmpty() && pastIntervals.peek().to().isBefore(now.minus(RETENTION_TIME))) {
            pastIntervals.poll();
        }
        Map<String, Double> shares = new HashMap<>();
        for (SpeedInterval interval : pastIntervals) {
            add(shares, interval, from, to, capacityMilliCores);
        }
        for (Run run : currentRuns) {
            StepSpec spec = run.task().step().spec();
            add(
                    shares,
                    new SpeedInterval(spec, run.throttledToPercent(), run.throttleLevelSince(), to),
                    from,
                    to,
                    capacityMilliCores);
        }
        return shares;
    }

    /** Returns the images of which a task started, ended or changed its speed after the given moment. */
    Set<String> imagesChangedSince(Instant moment) {
        Set<String> changed = new HashSet<>();
        for (SpeedInterval interval : pastIntervals) {
            if (interval.to().isAfter(moment)) {
                changed.add(interval.spec().imageName());
            }
        }
        for (Run run : currentRuns) {
            if (run.throttleLevelSince().isAfter(moment)) {
                changed.add(run.task().step().spec().imageName());
            }
        }
        return changed;
    }

    private static void add(
            Map<String, Double> shares, SpeedInterval interval, Instant from, Instant to, long capacity) {
        Instant start = interval.from().isAfter(from) ? interval.from() : from;
        Instant end = interval.to().isBefore(to) ? interval.to() : to;
        if (!end.isAfter(start)) {
            return;
        }
        double timeShare = (double) Duration.between(start, end).toMillis() / MEASUREMENT_WINDOW.toMillis();
        double speed = Math.max(0, interval.speedPercent()) / FULL_SPEED_PERCENT;
        double share = timeShare * speed * interval.spec().demand().milliCores() / capacity;
        shares.merge(interval.spec().imageName(), share, Double::sum);
    }

    private record SpeedInterval(StepSpec spec, int speedPercent, Instant from, Instant to) {}
}
