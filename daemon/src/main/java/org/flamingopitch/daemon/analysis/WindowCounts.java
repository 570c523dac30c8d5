package org.flamingopitch.daemon.analysis;

/**
 * The counts of one window of 2 s.
 *
 * @param startSeconds when the window starts: on the scale of the number before {@code time=}, otherwise since the first
 *     window
 * @param arrivals admitted and rejected submissions
 * @param rejections rejected submissions
 * @param completions jobs that are done
 */
public record WindowCounts(double startSeconds, long arrivals, long rejections, long completions) {

    /** The length of a window. */
    static final double WINDOW_SECONDS = GroupKeys.WINDOW_MICROS / 1e6;
}
