package org.flamingopitch.coordination.journal;

import java.time.Duration;

/**
 * The bounds of a journal.
 *
 * @param commitInterval the least time between two writes
 * @param retryDelay the time before a write without an answer is sent again
 * @param slowAfter after which time without an answer the journal counts as unhealthy
 * @param maxSegmentChars the size of a value at the most
 * @param segmentsPerSnapshot how many segments are written before a snapshot replaces them
 * @param retainReplaced how long replaced segments are kept, so that a late writer meets them
 * @param verifyAfter after which silence an owner checks that its next segment was not replaced meanwhile
 */
public record JournalSettings(
        Duration commitInterval,
        Duration retryDelay,
        Duration slowAfter,
        int maxSegmentChars,
        int segmentsPerSnapshot,
        Duration retainReplaced,
        Duration verifyAfter) {

    /**
     * Returns the settings for values of up to a megabyte and a budget of a few dozen writes a second.
     *
     * @return the defaults
     */
    public static JournalSettings defaults() {
        return new JournalSettings(
                Duration.ofMillis(100),
                Duration.ofMillis(250),
                Duration.ofMillis(250),
                400_000,
                200,
                Duration.ofSeconds(30),
                Duration.ofSeconds(15));
    }
}
