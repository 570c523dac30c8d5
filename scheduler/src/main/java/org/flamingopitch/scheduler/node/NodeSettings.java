package org.flamingopitch.scheduler.node;

import java.time.Duration;
import org.flamingopitch.coordination.journal.JournalSettings;
import org.flamingopitch.coordination.membership.LeaseTimings;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.coordination.once.IdempotencyPolicy;

/**
 * The settings of an entry host's core.
 *
 * @param self the member entry under which the process registers
 * @param lease the timings of the process's lease
 * @param timings the timings of requests, tasks and reports
 * @param journal the limits of the journals
 * @param oncePolicy the policy that prevents two executions of a request with the same idempotency key
 * @param jobCommandTimeout the time after which an unanswered job command times out
 * @param drainTimeout the time after which a shutdown stops waiting for partitions to be handed over
 * @param minDrainDuration the minimum time for which a shutdown still answers callers
 * @param seed the seed of the random number generator
 */
public record NodeSettings(
        Member self,
        LeaseTimings lease,
        NodeTimings timings,
        JournalSettings journal,
        IdempotencyPolicy oncePolicy,
        Duration jobCommandTimeout,
        Duration drainTimeout,
        Duration minDrainDuration,
        long seed) {

    /**
     * Returns the default settings of a process.
     *
     * @param self the member entry under which the process registers
     * @param seed the seed of the random number generator
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
