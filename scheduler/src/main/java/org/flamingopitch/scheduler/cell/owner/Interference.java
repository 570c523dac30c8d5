package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingopitch.scheduler.cell.model.StepSpec;

/**
 * Learns from the workers' lagging figures how much the tasks of one image that fill slow the serving tasks of another
 * beside them. It reckons in slack, the target divided by the response time: a serving task meets its target while its
 * slack is over 1, and for a queue under load each disturbance takes off slack in proportion to its size.
 */
final class Interference {

    /** Fills that take off less than this together leave a figure that still tells the slack alone. */
    private static final double CLEAN = 0.25;

    /** A figure tells what a fill does only when the fill has not changed for this long: figures cover half a second. */
    private static final Duration SETTLING_TIME = Duration.ofMillis(700);

    /** A step's slack alone is believed for this long; its load takes seconds to swing. */
    private static final Duration ALONE_VALID = Duration.ofMillis(900);

    /** Rough figures differ by less than this slack from what is expected. */
    private static final double UNEXPLAINED = 0.5;

    /** With less slack than this a swing of the load may soon take all of it. */
    private static final double CRITICAL = 1.9;

    /** Variance of one step's figures on one worker against its slack alone. */
    private static final double FIGURE_VARIANCE = 0.25;

    /** Variance of the same against the slack over time, from which the load swings by half. */
    private static final double SWING_VARIANCE = 0.8;

    /** The share of a serving task's reservation that its load takes on average. */
    private static final double SERVING_LOAD = 0.5;

    /** Figures of one worker that follow closer show the same moment. */
    private static final Duration OBSERVATION_GAP = Duration.ofMillis(300);

    private static final int FULL = 100;

    private final Map<String, ResponseModel> models = new HashMap<>();

    /** Learns from a worker's newest figures. */
    void learn(WorkerState worker, Instant now) {
        Map<String, Double> shares = worker.shownFills(now);
        Set<String> changing = worker.changedFills(now.minus(SETTLING_TIME));
        boolean news = !now.isBefore(worker.observedAt().plus(OBSERVATION_GAP));
        Map<Step, Double> slacks = meanSlacks(worker);
        for (Map.Entry<Step, Double> each : slacks.entrySet()) {
            Step step = each.getKey();
            double slack = each.getValue();
            ResponseModel model = model(step.spec());
            boolean settled = settled(model, shares, changing) || disturbed(step, slack, shares, now);
            if (news && !shares.isEmpty() && settled) {
                learnFills(step, slack, shares, now);
            }
            if (clean(model, shares)) {
                double alone = slack + model.cost(shares);
                step.observeSlackAlone(alone, now);
                model.observeAlone(alone);
            }
        }
        if (news && !slacks.isEmpty()) {
            worker.observed(now);
        }
    }

    /** Tells whether a figure shows more harm than expected, which a change under way cannot explain. */
    private boolean disturbed(Step step, double slack, Map<String, Double> shares, Instant now) {
        return alone(step, now) - model(step.spec()).cost(shares) - slack > UNEXPLAINED;
    }

    /** Returns what was learned, to be kept. */
    List<LearnedRecord.Response> records() {
        List<LearnedRecord.Response> records = new ArrayList<>();
        models.forEach((image, model) -> records.add(model.record(image)));
        return records;
    }

    /** Takes over what another owner learned. */
    void restore(List<LearnedRecord.Response> records) {
        for (LearnedRecord.Response record : records) {
            models.computeIfAbsent(record.serving(), key -> new ResponseModel()).restore(record);
        }
    }

    private void learnFills(Step step, double slack, Map<String, Double> shares, Instant now) {
        boolean known = step.slackAloneKnown(ALONE_VALID, now);
        double variance = known ? FIGURE_VARIANCE : SWING_VARIANCE;
        model(step.spec()).observe(alone(step, now), slack, shares, variance);
    }

    private static Map<Step, Double> meanSlacks(WorkerState worker) {
        Map<Step, Double> sums = new LinkedHashMap<>();
        Map<Step, Integer> counts = new HashMap<>();
        for (Run serving : worker.runs()) {
            double slack = slack(serving);
            if (slack > 0) {
                sums.merge(serving.task().step(), slack, Double::sum);
                counts.merge(serving.task().step(), 1, Integer::sum);
            }
        }
        sums.replaceAll((step, sum) -> sum / counts.get(step));
        return sums;
    }

    private static boolean settled(ResponseModel model, Map<String, Double> shares, Set<String> changing) {
        return changing.stream()
                .allMatch(image -> model.known(image)
                        && shares.getOrDefault(image, 0.0) * model.cost(image) <= ServingSlack.HARMLESS);
    }

    private static boolean clean(ResponseModel model, Map<String, Double> shares) {
        boolean known = shares.keySet().stream().allMatch(image -> model.known(image));
        return known && model.cost(shares) <= CLEAN;
    }

    /** Returns the least slack of each serving image on a worker, beside what fills there. */
    List<ServingSlack> slacks(WorkerState worker, Instant now) {
        Map<ResponseModel, Double> least = new LinkedHashMap<>();
        for (Run serving : worker.runs()) {
            if (serving.task().step().spec().serving()) {
                least.merge(model(serving), alone(serving, now), Math::min);
            }
        }
        List<ServingSlack> slacks = new ArrayList<>();
        least.forEach((model, alone) -> slacks.add(beside(worker, model, alone)));
        return slacks;
    }

    private static ServingSlack beside(WorkerState worker, ResponseModel model, double alone) {
        double cost = 0;
        boolean trialRuns = false;
        for (Run run : worker.runs()) {
            StepSpec spec = run.task().step().spec();
            if (spec.fills()) {
                cost += share(spec, worker) * model.cost(spec.imageName()) * Math.max(0, run.pacedTo()) / FULL;
                trialRuns |= !model.known(spec.imageName());
            }
        }
        return new ServingSlack(model, alone - cost, trialRuns);
    }

    /**
     * Returns the slack that a serving task would have now if nothing filled beside it. Single figures are rough, and the
     * load of a step's tasks swings together, so that the figures of all of them tell it; a task whose own figure is far
     * worse is disturbed by more than is known.
     */
    double alone(Run serving, Instant now) {
        double expected = alone(serving.task().step(), now);
        double slack = slack(serving);
        if (slack <= 0) {
            return expected;
        }
        double own = slack + model(serving).cost(serving.worker().shownFills(now));
        return Math.min(expected, own + UNEXPLAINED);
    }

    private double alone(Step step, Instant now) {
        return step.slackAloneKnown(ALONE_VALID, now)
                ? step.slackAlone()
                : model(step.spec()).baseline();
    }

    /** Tells whether the figures of a worker must be followed closely: a serving task there may soon miss its target. */
    boolean critical(WorkerState worker, Instant now) {
        for (Run serving : worker.runs()) {
            if (serving.task().step().spec().serving() && critical(worker, serving, now)) {
                return true;
            }
        }
        return false;
    }

    private boolean critical(WorkerState worker, Run serving, Instant now) {
        double sum = 0;
        for (Run fill : worker.runs()) {
            if (fill.task().step().spec().fills()) {
                if (!known(serving, fill.task().step().spec())) {
                    return true;
                }
                sum += fullCost(serving, fill);
            }
        }
        return sum > ServingSlack.HARMLESS && alone(serving, now) - sum < CRITICAL;
    }

    /** Returns the slack that a filling task takes off a serving one at full speed. */
    double fullCost(Run serving, Run fill) {
        StepSpec spec = fill.task().step().spec();
        return share(spec, fill.worker()) * model(serving).cost(spec.imageName());
    }

    /** Returns the slack that a serving task is expected to have alone. */
    double baseline(Run serving) {
        return model(serving).baseline();
    }

    /** Tells whether it is known how much a filling task disturbs a serving one. */
    boolean known(Run serving, StepSpec fill) {
        return model(serving).known(fill.imageName());
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

    private ResponseModel model(Run serving) {
        return model(serving.task().step().spec());
    }

    private ResponseModel model(StepSpec serving) {
        return models.computeIfAbsent(serving.imageName(), key -> new ResponseModel());
    }

    private static double share(StepSpec spec, WorkerState worker) {
        return (double) spec.demand().milliCores() / worker.entry().capacity().milliCores();
    }
}
