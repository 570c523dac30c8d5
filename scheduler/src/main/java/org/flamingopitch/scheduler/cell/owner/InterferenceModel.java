package org.flamingopitch.scheduler.cell.owner;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates, for one latency-critical image, how much each best-effort image reduces its headroom ratio, with a Kalman
 * filter over noisy measurements. The filter also gives the variance of each estimate, so that pairs of images without
 * measurements can be tried one at a time.
 */
final class InterferenceModel {

    /** Bounds the memory, the time of an update and the stored record; the image updated least recently is replaced. */
    static final int MAX_IMAGES = 32;

    /** Assumed headroom ratio of an image without interference, before any measurement; real images have 1.7 to 3.6. */
    private static final double INITIAL_BASELINE = 2.4;

    /** Weight of the newest measurement in the baseline. */
    private static final double BASELINE_UPDATE_WEIGHT = 0.02;

    /**
     * Assumed reduction of the headroom ratio by a best-effort image that uses a whole worker, before any measurement;
     * real images have 0 to 22.
     */
    private static final double INITIAL_COST = 6;

    private static final double INITIAL_COST_VARIANCE = 49;

    /** A cost with a larger standard deviation counts as unknown; one clear measurement brings it below. */
    private static final double MAX_KNOWN_COST_DEVIATION = 4.2;

    /**
     * Below this headroom ratio a task is saturated, and a measurement gives only a lower bound of the interference.
     */
    private static final double SATURATED_HEADROOM = 0.4;

    private final Map<String, Integer> indexByImage = new LinkedHashMap<>();

    /** For each image, the number of the update in which it was measured last. */
    private final List<Long> lastUpdates = new ArrayList<>();

    private long updateCount;

    private final List<Double> means = new ArrayList<>();

    private final List<List<Double>> covariances = new ArrayList<>();

    private double baseline = INITIAL_BASELINE;

    /** Returns the average headroom ratio of the latency-critical image without interference. */
    double baseline() {
        return baseline;
    }

    /** Returns the reduction of the headroom ratio by a best-effort image that uses a whole worker. */
    double cost(String image) {
        Integer index = indexByImage.get(image);
        return index == null ? INITIAL_COST : Math.max(0, means.get(index));
    }

    /** Returns the reduction of the headroom ratio by best-effort images that use the given shares of the worker. */
    double cost(Map<String, Double> shares) {
        double sum = 0;
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            sum += share.getValue() * cost(share.getKey());
        }
        return sum;
    }

    /** Returns the standard deviation of the estimated cost of a best-effort image. */
    double costDeviation(String image) {
        Integer index = indexByImage.get(image);
        return Math.sqrt(
                index == null ? INITIAL_COST_VARIANCE : covariances.get(index).get(index));
    }

    /**
     * Returns whether the cost of a best-effort image is known well enough; an image with unknown cost is tried with
     * one task at a time.
     */
    boolean isCostKnown(String image) {
        return costDeviation(image) <= MAX_KNOWN_COST_DEVIATION;
    }

    /** Updates the baseline with a headroom ratio that has no significant interference. */
    void updateBaseline(double headroom) {
        baseline += BASELINE_UPDATE_WEIGHT * (headroom - baseline);
    }

    /**
     * Updates the costs with a measurement beside best-effort tasks.
     *
     * @param headroomAlone the headroom ratio that the latency-critical task would have without them
     * @param headroom the measured headroom ratio
     * @param shares the share of the worker that each best-effort image used during the measurement
     * @param variance the variance of the difference between the two headroom ratios
     */
    void updateCosts(double headroomAlone, double headroom, Map<String, Double> shares, double variance) {
        updateCount++;
        shares.keySet().forEach(image -> lastUpdates.set(index(image), updateCount));
        double[] weights = new double[means.size()];
        shares.forEach((image, share) -> {
            // With more images than are kept at a time, the first ones have been replaced.
            Integer index = indexByImage.get(image);
            if (index != null) {
                weights[index] = share;
            }
        });
        double predicted = 0;
        for (int i = 0; i < weights.length; i++) {
            predicted += weights[i] * means.get(i);
        }
        double error = headroomAlone - headroom - predicted;
        if (headroom < SATURATED_HEADROOM && error < 0) {
            return;
        }
        updateEstimates(error, weights, variance);
    }

    /** Returns the estimates as a record to be stored. */
    LearnedRecord.Response toRecord(String latencyCriticalImage) {
        List<LearnedRecord.Cost> costs = new ArrayList<>();
        indexByImage.forEach((image, index) -> costs.add(new LearnedRecord.Cost(
                image, means.get(index), covariances.get(index).get(index))));
        return new LearnedRecord.Response(latencyCriticalImage, baseline, costs);
    }

    /** Restores the estimates that a previous owner stored. */
    void restore(LearnedRecord.Response record) {
        baseline = record.baseline();
        for (LearnedRecord.Cost cost : record.costs()) {
            int index = index(cost.filling());
            means.set(index, cost.slack());
            covariances.get(index).set(index, cost.variance());
        }
    }

    private void updateEstimates(double error, double[] weights, double variance) {
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

    private int index(String image) {
        Integer known = indexByImage.get(image);
        if (known != null) {
            return known;
        }
        int index = means.size() < MAX_IMAGES ? addImage() : forgetOldestImage();
        indexByImage.put(image, index);
        return index;
    }

    private int forgetOldestImage() {
        String oldest = Collections.min(
                indexByImage.keySet(), Comparator.comparing(image -> lastUpdates.get(indexByImage.get(image))));
        int index = indexByImage.remove(oldest);
        means.set(index, INITIAL_COST);
        covariances.get(index).replaceAll(covariance -> 0.0);
        covariances.forEach(row -> row.set(index, 0.0));
        covariances.get(index).set(index, INITIAL_COST_VARIANCE);
        return index;
    }

    private int addImage() {
        int index = means.size();
        means.add(INITIAL_COST);
        lastUpdates.add(0L);
        covariances.forEach(row -> row.add(0.0));
        List<Double> row = new ArrayList<>();
        for (int i = 0; i < index; i++) {
            row.add(0.0);
        }
        row.add(INITIAL_COST_VARIANCE);
        covariances.add(row);
        return index;
    }
}
