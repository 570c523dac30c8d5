package org.flamingopitch.scheduler.node;

import java.time.Duration;
import org.flamingopitch.coordination.journal.JournalSettings;
import org.flamingopitch.coordination.membership.LeaseTimings;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.coordination.once.IdempotencyPolicy;

/**
 * The settings of an entry host's core.
 *
 * @param self what the process tells about itself
 * @param lease the times of its lease
 * @param timings the times of the scheduler
 * @param journal the bounds of the journals
 * @param oncePolicy how keys are kept from running twice
 * @param jobDeadline how long a caller waits for the answer to a job command
 * @param drainDeadline how long a shutdown waits for hand-overs
 * @param drainLinger how long a shutdown keeps answering callers at the least
 * @param seed the seed of the random numbers
 */
public record NodeSettings(
        Member self,
        LeaseTimings lease,
        NodeTimings timings,
        JournalSettings journal,
        IdempotencyPolicy oncePolicy,
        Duration jobDeadline,
        Duration drainDeadline,
        Duration drainLinger,
        long seed) {

    /**
     * Returns the default settings of a process.
     *
     * @param self what the process tells about itself
     * @param seed the seed of the random numbers
     * @return the settings
     */
    public static NodeSettings defaults(Member self, long seed) {
        return new NodeSettings(
                self,
                LeaseTimings.defaults(),
                NodeTimings.defaults(),
                JournalSettings.defaults(),
                IdempotencyPolicy.ADAPTIVE,
                Duration.ofSeconds(5),
                Duration.ofSeconds(20),
                Duration.ofSeconds(2),
                seed);
    }
}
