package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.flamingopitch.scheduler.cell.model.StepSpec;

/**
 * Learns from the workers' lagging figures how much the tasks of one image that fill slow the serving tasks of another
 * beside them. It reckons in slack, the target divided by the response time: a serving task meets its target while its
 * slack is over 1, and for a queue under load each disturbance takes off slack in proportion to its size.
 */
final class Interference {

    /** Slack that a serving image is expected to have alone, before any figure. */
    private static final double FIRST_BASELINE = 2.4;

    /** Slack that a whole worker's worth of a filling image takes off, before any figure. */
    private static final double FIRST_COST = 4;

    private static final double HIGHEST_COST = 40;

    private static final double BASELINE_SMOOTHING = 0.05;

    /** How fast a cost follows the error of its prediction. */
    private static final double LEARNING_RATE = 0.1;

    /** Keeps small shares from changing a cost much. */
    private static final double SHARE_FLOOR = 0.01;

    /** The share of a serving task's reservation that its load takes on average. */
    private static final double SERVING_LOAD = 0.5;

    /** A figure covers the last half second and does not show what was placed later. */
    private static final Duration FIGURE_LAG = Duration.ofMillis(700);

    private static final int FULL = 100;

    private final Map<String, Double> baselines = new HashMap<>();

    private final Map<Pair, Double> costs = new HashMap<>();

    /** Learns from a worker's newest figures. */
    void learn(WorkerState worker, Instant now) {
        for (Run serving : worker.runs()) {
            double slack = slack(serving);
            if (slack > 0) {
                learn(worker, serving, slack, now);
            }
        }
    }

    private void learn(WorkerState worker, Run serving, double slack, Instant now) {
        double predicted = 0;
        double squares = 0;
        for (Run fill : worker.runs()) {
            if (shows(fill, now)) {
                double share = share(fill);
                predicted += share * cost(serving, fill.task().step().spec());
                squares += share * share;
            }
        }
        String image = image(serving.task().step().spec());
        double baseline = baselines.getOrDefault(image, FIRST_BASELINE);
        if (squares == 0) {
            baselines.put(image, baseline * (1 - BASELINE_SMOOTHING) + slack * BASELINE_SMOOTHING);
            return;
        }
        double error = baseline - slack - predicted;
        for (Run fill : worker.runs()) {
            if (shows(fill, now)) {
                StepSpec spec = fill.task().step().spec();
                double step = LEARNING_RATE * error * share(fill) / (squares + SHARE_FLOOR);
                double next = Math.max(0, Math.min(HIGHEST_COST, cost(serving, spec) + step));
                costs.put(new Pair(image, image(spec)), next);
            }
        }
    }

    /** Predicts the least slack of a worker's serving tasks, with one more task beside them. */
    double predict(WorkerState worker, StepSpec addition, Instant now) {
        double least = Double.MAX_VALUE;
        for (Run serving : worker.runs()) {
            StepSpec spec = serving.task().step().spec();
            if (spec.serving()) {
                double slack =
                        slack(serving) > 0 ? slack(serving) : baselines.getOrDefault(image(spec), FIRST_BASELINE);
                slack -= share(addition, worker) * cost(serving, addition);
                least = Math.min(least, slack - unseenCost(worker, serving, now));
            }
        }
        return least;
    }

    /** Returns what tasks take off that were placed after the last figure. */
    private double unseenCost(WorkerState worker, Run serving, Instant now) {
        double sum = 0;
        for (Run fill : worker.runs()) {
            if (fill.task().step().spec().fills() && !shows(fill, now)) {
                sum += share(fill.task().step().spec(), worker)
                        * cost(serving, fill.task().step().spec());
            }
        }
        return sum;
    }

    private static boolean shows(Run fill, Instant now) {
        return fill.task().step().spec().fills()
                && fill.phase() == RunPhase.RUNNING
                && now.isAfter(fill.placedAt().plus(FIGURE_LAG));
    }

    /** Returns the slack that a filling task takes off a serving one at full speed. */
    double fullCost(Run serving, Run fill) {
        StepSpec spec = fill.task().step().spec();
        return share(spec, fill.worker()) * cost(serving, spec);
    }

    /** Returns the processor time that serving tasks reserve and do not use on average. */
    static long idleServingCpu(WorkerState worker) {
        long reserved = 0;
        for (Run run : worker.runs()) {
            StepSpec spec = run.task().step().spec();
            reserved += spec.serving() ? spec.demand().milliCores() : 0;
        }
        return (long) (reserved * (1 - SERVING_LOAD));
    }

    /** Returns a serving task's target divided by its response time, or 0 if it is not known. */
    static double slack(Run run) {
        StepSpec spec = run.task().step().spec();
        boolean known = spec.serving() && run.phase() == RunPhase.RUNNING && run.figure() > 0;
        return known && run.percent() >= FULL ? spec.targetMillis() / run.figure() : 0;
    }

    private static double share(Run fill) {
        double pace = Math.max(0, fill.pacedTo()) / (double) FULL;
        return pace * share(fill.task().step().spec(), fill.worker());
    }

    private static double share(StepSpec spec, WorkerState worker) {
        return (double) spec.demand().milliCores() / worker.entry().capacity().milliCores();
    }

    private double cost(Run serving, StepSpec fill) {
        return costs.getOrDefault(new Pair(image(serving.task().step().spec()), image(fill)), FIRST_COST);
    }

    private static String image(StepSpec spec) {
        return spec.image() == null ? "" : spec.image();
    }

    private record Pair(String serving, String filling) {}
}
