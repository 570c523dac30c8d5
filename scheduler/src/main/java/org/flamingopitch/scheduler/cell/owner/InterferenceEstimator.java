package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingopitch.scheduler.cell.model.StepSpec;

/**
 * Estimates interference: how much best-effort tasks of one image reduce the headroom ratio of latency-critical tasks
 * of another image on the same worker. The headroom ratio is the response time target divided by the measured tail; a
 * task meets its target while the ratio is at least 1. The headroom alone is the ratio that a task would have without
 * best-effort tasks on its worker; a cost is a reduction of the ratio. For a queue under load, the cost of a
 * best-effort task is proportional to the processor share that it uses. Measurements arrive late, so they are compared
 * with the shares of the time that they cover.
 */
final class InterferenceEstimator {

    /**
     * If the best-effort tasks on a worker reduce the headroom ratio by no more than this in total, a measurement still
     * gives the headroom ratio without interference.
     */
    private static final double MAX_BASELINE_COST = 0.25;

    /**
     * A measurement shows the effect of a best-effort task only if the task's speed has not changed for this long;
     * measurements cover half a second.
     */
    private static final Duration SETTLING_TIME = Duration.ofMillis(700);

    /**
     * How long the measured headroom ratio of a step without interference stays valid; the load of a step changes over
     * seconds.
     */
    private static final Duration HEADROOM_ALONE_VALIDITY = Duration.ofMillis(900);

    /** Noise changes a measured headroom ratio by less than this. */
    private static final double MAX_MEASUREMENT_NOISE = 0.5;

    /** Below this headroom ratio an increase of the load may soon use up the remaining headroom. */
    private static final double AT_RISK_HEADROOM = 1.9;

    /**
     * Variance of a step's measurements on one worker, compared with the step's current headroom ratio without
     * interference.
     */
    private static final double MEASUREMENT_VARIANCE = 0.25;

    /**
     * Variance of a step's measurements on one worker, compared with the average headroom ratio without interference.
     * It is larger because the load varies by half around its average.
     */
    private static final double LOAD_SWING_VARIANCE = 0.8;

    /** Average share of its reservation that a latency-critical task uses. */
    private static final double AVERAGE_LOAD = 0.5;

    /** Measurements of one worker that follow each other more closely than this cover the same moment. */
    private static final Duration MIN_MEASUREMENT_INTERVAL = Duration.ofMillis(300);

    /** Speed of a best-effort task that is not throttled, and progress of a long-running task that is at work. */
    private static final int FULL_PERCENT = 100;

    /** Bounds the memory and the stored record; the latency-critical image used least recently is forgotten. */
    private static final int MAX_MODELS = 64;

    private final Map<String, InterferenceModel> models = new LinkedHashMap<>(16, 0.75F, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, InterferenceModel> eldest) {
            return size() > MAX_MODELS;
        }
    };

    /** Updates the estimates with a worker's newest measurements. */
    void update(WorkerState worker, Instant now) {
        Map<String, Double> shares = worker.bestEffortShares(now);
        Set<String> recentlyChanged = worker.bestEffortImagesChangedSince(now.minus(SETTLING_TIME));
        boolean isNewMeasurement = !now.isBefore(worker.interferenceUpdatedAt().plus(MIN_MEASUREMENT_INTERVAL));
        Map<Step, Double> headrooms = meanHeadrooms(worker);
        for (Map.Entry<Step, Double> entry : headrooms.entrySet()) {
            Step step = entry.getKey();
            double headroom = entry.getValue();
            InterferenceModel model = model(step.spec());
            boolean settled =
                    isSettled(model, shares, recentlyChanged) || exceedsExpectedCost(step, headroom, shares, now);
            if (isNewMeasurement && !shares.isEmpty() && settled) {
                updateCosts(step, headroom, shares, now);
            }
            if (isCostSmall(model, shares)) {
                double headroomAlone = headroom + model.cost(shares);
                step.observeHeadroomAlone(headroomAlone, now);
                model.updateBaseline(headroomAlone);
            }
        }
        if (isNewMeasurement && !headrooms.isEmpty()) {
            worker.setInterferenceUpdatedAt(now);
        }
    }

    /**
     * Returns whether a measurement is lower than expected by more than the noise. A change of speed that is under way
     * cannot explain that, so the measurement is used at once.
     */
    private boolean exceedsExpectedCost(Step step, double headroom, Map<String, Double> shares, Instant now) {
        return headroomAlone(step, now) - model(step.spec()).cost(shares) - headroom > MAX_MEASUREMENT_NOISE;
    }

    /** Returns the estimates, to be stored for the next owner. */
    List<LearnedRecord.Response> records() {
        List<LearnedRecord.Response> records = new ArrayList<>();
        models.forEach((image, model) -> records.add(model.toRecord(image)));
        return records;
    }

    /** Restores the estimates that a previous owner stored. */
    void restore(List<LearnedRecord.Response> records) {
        for (LearnedRecord.Response record : records) {
            models.computeIfAbsent(record.serving(), key -> new InterferenceModel())
                    .restore(record);
        }
    }

    private void updateCosts(Step step, double headroom, Map<String, Double> shares, Instant now) {
        boolean known = step.headroomAloneKnown(HEADROOM_ALONE_VALIDITY, now);
        double variance = known ? MEASUREMENT_VARIANCE : LOAD_SWING_VARIANCE;
        model(step.spec()).updateCosts(headroomAlone(step, now), headroom, shares, variance);
    }

    private static Map<Step, Double> meanHeadrooms(WorkerState worker) {
        Map<Step, Double> sums = new LinkedHashMap<>();
        Map<Step, Integer> counts = new LinkedHashMap<>();
        for (Run latencyCritical : worker.runs()) {
            double headroom = measuredHeadroom(latencyCritical);
            if (headroom > 0) {
                sums.merge(latencyCritical.task().step(), headroom, Double::sum);
                counts.merge(latencyCritical.task().step(), 1, Integer::sum);
            }
        }
        sums.replaceAll((step, sum) -> sum / counts.get(step));
        return sums;
    }

    private static boolean isSettled(InterferenceModel model, Map<String, Double> shares, Set<String> recentlyChanged) {
        return recentlyChanged.stream()
                .allMatch(image -> model.isCostKnown(image)
                        && shares.getOrDefault(image, 0.0) * model.cost(image) <= LatencyHeadroom.NEGLIGIBLE_COST);
    }

    private static boolean isCostSmall(InterferenceModel model, Map<String, Double> shares) {
        boolean known = shares.keySet().stream().allMatch(image -> model.isCostKnown(image));
        return known && model.cost(shares) <= MAX_BASELINE_COST;
    }

    /**
     * Returns, for each latency-critical image on a worker, the lowest headroom ratio that its tasks have beside the
     * best-effort tasks there.
     */
    List<LatencyHeadroom> estimateHeadrooms(WorkerState worker, Instant now) {
        Map<InterferenceModel, Double> lowestHeadrooms = new LinkedHashMap<>();
        for (Run latencyCritical : worker.runs()) {
            if (latencyCritical.task().step().spec().latencyCritical()) {
                lowestHeadrooms.merge(model(latencyCritical), headroomAlone(latencyCritical, now), Math::min);
            }
        }
        List<LatencyHeadroom> headrooms = new ArrayList<>();
        lowestHeadrooms.forEach((model, headroomAlone) -> headrooms.add(headroomBeside(worker, model, headroomAlone)));
        return headrooms;
    }

    private static LatencyHeadroom headroomBeside(WorkerState worker, InterferenceModel model, double headroomAlone) {
        double cost = 0;
        boolean trialRunning = false;
        for (Run run : worker.runs()) {
            StepSpec spec = run.task().step().spec();
            if (spec.fills()) {
                cost += share(spec, worker)
                        * model.cost(spec.imageName())
                        * Math.max(0, run.throttledToPercent())
                        / FULL_PERCENT;
                trialRunning |= !model.isCostKnown(spec.imageName());
            }
        }
        return new LatencyHeadroom(model, headroomAlone - cost, trialRunning);
    }

    /**
     * Returns the headroom ratio that a latency-critical task would have now without best-effort tasks beside it.
     * Single measurements are noisy, and the load of all tasks of a step varies together, so that the estimate uses the
     * measurements of all of them. A task whose own measurement is far lower has more interference than is known, and
     * gets a lower estimate.
     */
    double headroomAlone(Run latencyCritical, Instant now) {
        double expected = headroomAlone(latencyCritical.task().step(), now);
        double headroom = measuredHeadroom(latencyCritical);
        if (headroom <= 0) {
            return expected;
        }
        double ownHeadroom =
                headroom + model(latencyCritical).cost(latencyCritical.worker().bestEffortShares(now));
        return Math.min(expected, ownHeadroom + MAX_MEASUREMENT_NOISE);
    }

    /**
     * Returns the headroom ratio that a latency-critical task of the step would have on a worker now, beside the
     * best-effort tasks there; 0 if the effect of one of these is unknown.
     */
    double predictHeadroom(Step step, WorkerState worker, Instant now) {
        LatencyHeadroom headroom = headroomBeside(worker, model(step.spec()), headroomAlone(step, now));
        return headroom.trialRunning() ? 0 : headroom.headroom();
    }

    private double headroomAlone(Step step, Instant now) {
        return step.headroomAloneKnown(HEADROOM_ALONE_VALIDITY, now)
                ? step.headroomAlone()
                : model(step.spec()).baseline();
    }

    /**
     * Returns whether a latency-critical task on the worker may soon miss its target, so that the worker must be polled
     * at short intervals.
     */
    boolean isTargetAtRisk(WorkerState worker, Instant now) {
        for (Run latencyCritical : worker.runs()) {
            if (latencyCritical.task().step().spec().latencyCritical()
                    && isTargetAtRisk(worker, latencyCritical, now)) {
                return true;
            }
        }
        return false;
    }

    private boolean isTargetAtRisk(WorkerState worker, Run latencyCritical, Instant now) {
        double sum = 0;
        for (Run bestEffort : worker.runs()) {
            if (bestEffort.task().step().spec().fills()) {
                if (!isCostKnown(latencyCritical, bestEffort.task().step().spec())) {
                    return true;
                }
                sum += fullSpeedCost(latencyCritical, bestEffort);
            }
        }
        return sum > LatencyHeadroom.NEGLIGIBLE_COST && headroomAlone(latencyCritical, now) - sum < AT_RISK_HEADROOM;
    }

    /** Returns the reduction of a latency-critical task's headroom ratio by a best-effort task at full speed. */
    double fullSpeedCost(Run latencyCritical, Run bestEffort) {
        StepSpec spec = bestEffort.task().step().spec();
        return share(spec, bestEffort.worker()) * model(latencyCritical).cost(spec.imageName());
    }

    /** Returns the average headroom ratio of a latency-critical task without interference. */
    double baseline(Run latencyCritical) {
        return model(latencyCritical).baseline();
    }

    /** Returns whether the effect of a best-effort task on a latency-critical task is known well enough. */
    boolean isCostKnown(Run latencyCritical, StepSpec bestEffort) {
        return model(latencyCritical).isCostKnown(bestEffort.imageName());
    }

    /** Returns the processor time that latency-critical tasks reserve and on average do not use, in millicores. */
    static long idleLatencyCriticalMilliCores(WorkerState worker) {
        long reserved = 0;
        for (Run run : worker.runs()) {
            StepSpec spec = run.task().step().spec();
            reserved += spec.latencyCritical() ? spec.demand().milliCores() : 0;
        }
        return (long) (reserved * (1 - AVERAGE_LOAD));
    }

    /** Returns a latency-critical task's target divided by its measured tail, or 0 if there is no measurement. */
    static double measuredHeadroom(Run run) {
        StepSpec spec = run.task().step().spec();
        boolean known = spec.latencyCritical() && run.phase() == RunPhase.RUNNING && run.measurement() > 0;
        return known && run.progressPercent() >= FULL_PERCENT ? spec.targetMillis() / run.measurement() : 0;
    }

    private InterferenceModel model(Run latencyCritical) {
        return model(latencyCritical.task().step().spec());
    }

    private InterferenceModel model(StepSpec latencyCritical) {
        return models.computeIfAbsent(latencyCritical.imageName(), key -> new InterferenceModel());
    }

    private static double share(StepSpec spec, WorkerState worker) {
        return (double) spec.demand().milliCores() / worker.entry().capacity().milliCores();
    }
}
