package org.flamingopitch.daemon.analysis;

import java.util.Arrays;

/** The size of a job compared with all jobs that were submitted. */
enum SizeClass {
    /** The largest tenth. */
    LARGEST("largest"),
    /** The fifth below the largest tenth. */
    LARGE("large"),
    /** All others. */
    REST("rest"),
    /** Jobs of which neither work nor tasks are known, for instance those that were never admitted. */
    UNKNOWN("unknown");

    private static final double LARGEST_SHARE = 0.1;

    private static final double LARGE_SHARE = 0.3;

    private final String label;

    SizeClass(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }

    /**
     * Classifies a size by its rank. Equal sizes share their mean rank, so that they are all in the same class.
     *
     * @param size the job's size, 0 if unknown
     * @param ascendingSizes the sizes of all submitted jobs, sorted
     */
    static SizeClass of(long size, long[] ascendingSizes) {
        if (size <= 0 || ascendingSizes.length == 0) {
            return UNKNOWN;
        }
        int larger = ascendingSizes.length - lowerBound(ascendingSizes, size + 1);
        int largerOrEqual = ascendingSizes.length - lowerBound(ascendingSizes, size);
        double rank = (larger + Math.max(larger, largerOrEqual - 1)) / 2.0;
        if (rank < ascendingSizes.length * LARGEST_SHARE) {
            return LARGEST;
        }
        return rank < ascendingSizes.length * LARGE_SHARE ? LARGE : REST;
    }

    private static int lowerBound(long[] ascending, long value) {
        int index = Arrays.binarySearch(ascending, value);
        if (index < 0) {
            return -index - 1;
        }
        int lowest = index;
        while (lowest > 0 && ascending[lowest - 1] == value) {
            lowest--;
        }
        return lowest;
    }
}
