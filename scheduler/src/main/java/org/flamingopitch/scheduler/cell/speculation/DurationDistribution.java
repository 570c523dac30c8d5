package org.flamingopitch.scheduler.cell.speculation;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Base64;
import java.util.zip.DataFormatException;
import org.HdrHistogram.AbstractHistogram;
import org.HdrHistogram.HistogramIterationValue;
import org.HdrHistogram.IntCountsHistogram;

/**
 * The distribution of the ratio of actual to estimated task durations, of the last {@link #RUNS_PER_HISTOGRAM} to
 * twice as many runs. It serves queues of which a few tasks take several times as long as the others: the longer a run
 * has lasted, the longer it is expected to last.
 *
 * <p>Two histograms rotate, so that memory is bounded and old runs are forgotten.
 */
public final class DurationDistribution {

    /** With stragglers among 3 % of the runs, 500 to 1,000 runs contain 15 to 30 of them. */
    static final int RUNS_PER_HISTOGRAM = 500;

    /** Below this number of runs too few stragglers are among them to tell how long one takes. */
    private static final int MIN_RUNS = 50;

    /** Histograms count whole numbers; a ratio of 1 is counted as this value. */
    private static final double UNITS = 1_000;

    private static final long MAX_UNITS = 1_000_000;

    /** One digit bounds the error to 6 %, and a stored histogram of 500 runs to about 100 characters. */
    private static final int SIGNIFICANT_DIGITS = 1;

    private IntCountsHistogram recent = newHistogram();

    private IntCountsHistogram former = newHistogram();

    /** Ascending ratios, and for each the number and the sum of the ratios from there on; null if outdated. */
    private Tail tail;

    private static IntCountsHistogram newHistogram() {
        return new IntCountsHistogram(MAX_UNITS, SIGNIFICANT_DIGITS);
    }

    /**
     * Adds a run.
     *
     * @param ratio its duration divided by the estimate
     */
    public void record(double ratio) {
        if (recent.getTotalCount() >= RUNS_PER_HISTOGRAM) {
            IntCountsHistogram outdated = former;
            former = recent;
            recent = outdated;
            recent.reset();
        }
        recent.recordValue(Math.max(1, Math.min(MAX_UNITS, Math.round(ratio * UNITS))));
        tail = null;
    }

    /**
     * Returns the number of runs in the distribution.
     *
     * @return the number
     */
    public long runs() {
        return recent.getTotalCount() + former.getTotalCount();
    }

    /**
     * Returns whether the distribution contains enough runs to answer questions about single runs.
     *
     * @return whether it does
     */
    public boolean known() {
        return runs() >= MIN_RUNS;
    }

    /**
     * Returns a quantile.
     *
     * @param quantile from 0 to 1; 0.5 for the median
     * @return the ratio that this share of the runs does not exceed, 1 if there are no runs
     */
    public double quantile(double quantile) {
        Tail current = tail();
        if (runs() == 0) {
            return 1;
        }
        double above = (1 - quantile) * runs();
        int index = 0;
        while (index + 1 < current.ratios.length && current.counts[index + 1] > above) {
            index++;
        }
        return current.ratios[index];
    }

    /**
     * Returns how much longer a run is expected to last that has lasted for a given time: E[duration - elapsed | duration
     * > elapsed]. Counts one run of twice the elapsed time in addition, which decides where no run has lasted as long.
     *
     * @param elapsed the time that the run has lasted, divided by the estimate
     * @return the remaining time, divided by the estimate
     */
    public double expectedRemaining(double elapsed) {
        Tail current = tail();
        int found = Arrays.binarySearch(current.ratios, elapsed);
        int index = found < 0 ? -found - 1 : found + 1;
        long count = index < current.ratios.length ? current.counts[index] : 0;
        double sum = index < current.ratios.length ? current.sums[index] : 0;
        return (sum - count * elapsed + elapsed) / (count + 1);
    }

    private Tail tail() {
        if (tail == null) {
            tail = Tail.of(recent, former);
        }
        return tail;
    }

    /**
     * Returns the newer of the two histograms in the compressed format of HdrHistogram, as Base64.
     *
     * @return the text, null if the histogram is empty
     */
    public String encodeRecent() {
        return encode(recent);
    }

    /**
     * Returns the older of the two histograms in the compressed format of HdrHistogram, as Base64.
     *
     * @return the text, null if the histogram is empty
     */
    public String encodeFormer() {
        return encode(former);
    }

    private static String encode(IntCountsHistogram histogram) {
        if (histogram.getTotalCount() == 0) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
        int length = histogram.encodeIntoCompressedByteBuffer(buffer);
        return Base64.getEncoder().withoutPadding().encodeToString(Arrays.copyOf(buffer.array(), length));
    }

    /**
     * Restores a distribution.
     *
     * @param recentText the newer histogram as {@link #encodeRecent()} returned it, or null
     * @param formerText the older histogram as {@link #encodeFormer()} returned it, or null
     * @return the distribution
     * @throws IllegalArgumentException if a text cannot be decoded
     */
    public static DurationDistribution decode(String recentText, String formerText) {
        DurationDistribution distribution = new DurationDistribution();
        addDecoded(recentText, distribution.recent);
        addDecoded(formerText, distribution.former);
        return distribution;
    }

    private static void addDecoded(String text, IntCountsHistogram histogram) {
        if (text == null) {
            return;
        }
        try {
            ByteBuffer buffer = ByteBuffer.wrap(Base64.getDecoder().decode(text));
            histogram.add(IntCountsHistogram.decodeFromCompressedByteBuffer(buffer, MAX_UNITS));
        } catch (DataFormatException
                | BufferUnderflowException
                | IndexOutOfBoundsException
                | NegativeArraySizeException e) {
            throw new IllegalArgumentException("\"" + text + "\" is not a histogram", e);
        }
    }

    /**
     * The counts of both histograms, summed from the longest runs on.
     *
     * @param ratios the ratios that occur, ascending
     * @param counts for each ratio the number of runs with this ratio or a longer one
     * @param sums for each ratio the sum of the ratios of these runs
     */
    private record Tail(double[] ratios, long[] counts, double[] sums) {

        static Tail of(AbstractHistogram recent, AbstractHistogram former) {
            IntCountsHistogram merged = newHistogram();
            merged.add(recent);
            merged.add(former);
            int size = 0;
            double[] ratios = new double[(int) Math.min(merged.getTotalCount(), merged.getNeededByteBufferCapacity())];
            long[] counts = new long[ratios.length];
            for (HistogramIterationValue value : merged.recordedValues()) {
                ratios[size] = merged.medianEquivalentValue(value.getValueIteratedTo()) / UNITS;
                counts[size] = value.getCountAddedInThisIterationStep();
                size++;
            }
            double[] sums = new double[size];
            long count = 0;
            double sum = 0;
            for (int i = size - 1; i >= 0; i--) {
                count += counts[i];
                sum += counts[i] * ratios[i];
                counts[i] = count;
                sums[i] = sum;
            }
            return new Tail(Arrays.copyOf(ratios, size), Arrays.copyOf(counts, size), sums);
        }
    }
}
