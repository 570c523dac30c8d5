package org.flamingopitch.coordination.journal;

import java.time.Duration;

/**
 * The limits and times of a journal.
 *
 * @param minCommitInterval the minimum time between the starts of two segment writes
 * @param retryDelay the time after which a failed request is sent again
 * @param slowWriteThreshold how long a segment write may take before the journal counts as unhealthy
 * @param targetSegmentChars the number of characters at which a segment or snapshot part is full; the last record may
 *     exceed it
 * @param segmentsPerSnapshot the number of segments after which a snapshot replaces them
 * @param replacedRetention how long replaced segments and snapshot parts are kept, so that a delayed segment write of
 *     an earlier owner still finds a conflicting key
 * @param verifyAfterIdle an owner reads the head before a write if the last proof that no snapshot has replaced its next
 *     segment is older than this; shorter than {@code replacedRetention}, after which the conflicting key is deleted
 */
public record JournalSettings(
        Duration minCommitInterval,
        Duration retryDelay,
        Duration slowWriteThreshold,
        int targetSegmentChars,
        int segmentsPerSnapshot,
        Duration replacedRetention,
        Duration verifyAfterIdle) {

    /**
     * Returns the settings for a store that takes values of up to 1 MB and a few dozen writes per second.
     *
     * @return the default settings
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
