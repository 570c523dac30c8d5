package org.flamingopitch.scheduler.cell.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates for one serving image how much slack each filling image takes off it, with a Kalman filter over rough
 * figures. It knows how uncertain each estimate is, so that pairs that were never seen can be tried one by one.
 */
final class ResponseModel {

    /** Slack that a serving image is expected to have alone, before any figure: measured 1.7 to 3.6. */
    private static final double FIRST_BASELINE = 2.4;

    /** Weight of the newest figure in the baseline. */
    private static final double BASELINE_SMOOTHING = 0.02;

    /** Slack that a whole worker's worth of a filling image takes off, before any figure: measured 0 to 22. */
    private static final double FIRST_COST = 6;

    private static final double COST_VARIANCE = 49;

    /** A cost with a larger standard deviation is not known; one clear figure brings it below. */
    private static final double UNKNOWN = 4.2;

    /** Below this slack a serving task is saturated, and the figure no longer tells how far. */
    private static final double SATURATED = 0.4;

    private final Map<String, Integer> positions = new HashMap<>();

    private final List<Double> means = new ArrayList<>();

    private final List<List<Double>> covariances = new ArrayList<>();

    private double baseline = FIRST_BASELINE;

    /** Returns the slack of the serving image when nothing fills beside it, over time. */
    double baseline() {
        return baseline;
    }

    /** Returns the slack that a whole worker's worth of a filling image takes off. */
    double cost(String filling) {
        Integer position = positions.get(filling);
        return position == null ? FIRST_COST : Math.max(0, means.get(position));
    }

    /** Returns the slack that filling images take off with the given shares of the worker. */
    double cost(Map<String, Double> shares) {
        double sum = 0;
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            sum += share.getValue() * cost(share.getKey());
        }
        return sum;
    }

    /** Returns the standard deviation of a cost. */
    double uncertainty(String filling) {
        Integer position = positions.get(filling);
        return Math.sqrt(
                position == null ? COST_VARIANCE : covariances.get(position).get(position));
    }

    /** Tells whether enough was seen of a filling image; one that is not known is tried with one task at a time. */
    boolean known(String filling) {
        return uncertainty(filling) <= UNKNOWN;
    }

    /** Learns from a figure of a task beside which nothing fills that matters. */
    void observeAlone(double slack) {
        baseline += BASELINE_SMOOTHING * (slack - baseline);
    }

    /**
     * Learns from the figure of a task beside which others fill.
     *
     * @param alone the slack that the task would have without them
     * @param slack the slack that it has
     * @param shares the share of the worker that each filling image took meanwhile
     * @param variance how rough the two values are
     */
    void observe(double alone, double slack, Map<String, Double> shares, double variance) {
        shares.keySet().forEach(image -> positions.computeIfAbsent(image, key -> grow()));
        double[] weights = new double[means.size()];
        shares.forEach((image, share) -> weights[positions.get(image)] = share);
        double predicted = 0;
        for (int i = 0; i < weights.length; i++) {
            predicted += weights[i] * means.get(i);
        }
        double error = alone - slack - predicted;
        if (slack < SATURATED && error < 0) {
            return;
        }
        correct(error, weights, variance);
    }

    /** Returns what was learned of the image, to be kept. */
    LearnedRecord.Response record(String serving) {
        List<LearnedRecord.Cost> costs = new ArrayList<>();
        positions.forEach((filling, position) -> costs.add(new LearnedRecord.Cost(
                filling, means.get(position), covariances.get(position).get(position))));
        return new LearnedRecord.Response(serving, baseline, costs);
    }

    /** Takes over what another owner learned. */
    void restore(LearnedRecord.Response record) {
        baseline = record.baseline();
        for (LearnedRecord.Cost cost : record.costs()) {
            int position = positions.computeIfAbsent(cost.filling(), key -> grow());
            means.set(position, cost.slack());
            covariances.get(position).set(position, cost.variance());
        }
    }

    private void correct(double error, double[] weights, double variance) {
        double[] projected = new double[weights.length];
        double total = variance;
        for (int i = 0; i < weights.length; i++) {
            for (int j = 0; j < weights.length; j++) {
                projected[i] += covariances.get(i).get(j) * weights[j];
            }
            total += projected[i] * weights[i];
        }
        for (int i = 0; i < weights.length; i++) {
            means.set(i, means.get(i) + projected[i] * error / total);
            for (int j = 0; j < weights.length; j++) {
                double next = covariances.get(i).get(j) - projected[i] * projected[j] / total;
                covariances.get(i).set(j, next);
            }
        }
    }

    private int grow() {
        int position = means.size();
        means.add(FIRST_COST);
        covariances.forEach(row -> row.add(0.0));
        List<Double> row = new ArrayList<>();
        for (int i = 0; i < position; i++) {
            row.add(0.0);
        }
        row.add(COST_VARIANCE);
        covariances.add(row);
        return position;
    }
}
