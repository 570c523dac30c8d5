package org.flamingopitch.bench.compare;

import java.util.List;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * The mean of paired differences with its 95 % confidence interval by Student's t-distribution.
 *
 * @param pairs the number of pairs
 * @param mean the mean of candidate less baseline
 * @param halfWidth half the width of the interval; infinite for fewer than two pairs
 */
record PairedDifference(int pairs, double mean, double halfWidth) {

    private static final double UPPER_QUANTILE = 0.975;

    /** Computes the mean difference of pairs. */
    static PairedDifference of(List<Double> differences) {
        SummaryStatistics statistics = new SummaryStatistics();
        differences.forEach(statistics::addValue);
        int count = differences.size();
        if (count < 2) {
            return new PairedDifference(count, statistics.getMean(), Double.POSITIVE_INFINITY);
        }
        double quantile = new TDistribution(count - 1.0).inverseCumulativeProbability(UPPER_QUANTILE);
        double halfWidth = quantile * statistics.getStandardDeviation() / Math.sqrt(count);
        return new PairedDifference(count, statistics.getMean(), halfWidth);
    }

    /** Returns the verdict on a figure of which more is better. */
    String verdict() {
        if (mean - halfWidth > 0) {
            return "better";
        }
        return mean + halfWidth < 0 ? "worse" : "can't tell";
    }
}
