package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import org.flamingopitch.coordination.api.ProcessId;

/**
 * Computes how long a process waits before it campaigns for a vacant owner's key. Hosts with more processor time and a
 * shorter way to the store campaign earlier, so that the host that can order the most workers usually wins. Hosts that
 * have just started campaign last, since they know too little of the former owner to shorten the wait for its leases.
 */
final class CampaignDelay {

    /** Upper bound of the part that depends on the round trip, as a busy process measures long ones. */
    private static final Duration MAX_ROUND_TRIP_DELAY = Duration.ofMillis(300);

    /** Weight of the round trip; the best host of the store's region comes before those of other regions. */
    private static final int ROUND_TRIPS = 4;

    /** Delay of a host that has one processor; a host that has a quarter of one waits four times as long. */
    private static final Duration PROCESSOR_DELAY = Duration.ofMillis(60);

    private static final Duration MAX_PROCESSOR_DELAY = Duration.ofMillis(300);

    /** Upper bound of the delay added per candidate, so that two candidates seldom write at the same time. */
    private static final long MAX_JITTER_MILLIS = 60;

    /** Longer than the other delays of two hosts differ. */
    private static final Duration NEW_PROCESS_DELAY = Duration.ofMillis(300);

    /** After this time a process knows as much of the former owner as those that started earlier. */
    private static final Duration NEW_PROCESS_TIME = Duration.ofSeconds(6);

    private final ProcessId process;

    private final Instant startedAt;

    private final Duration processorDelay;

    /**
     * Creates the delays of one process.
     *
     * @param candidate the process
     * @param startedAt when the process began to watch the owner's key
     */
    CampaignDelay(OwnerRecord candidate, Instant startedAt) {
        this.process = candidate.process();
        this.startedAt = startedAt;
        double factor = 1 / Math.max(candidate.processors(), Double.MIN_NORMAL);
        double millis = Math.min(MAX_PROCESSOR_DELAY.toMillis(), PROCESSOR_DELAY.toMillis() * factor);
        this.processorDelay = Duration.ofMillis((long) millis);
    }

    /**
     * Returns the delay of a campaign.
     *
     * @param roundTrip the round trip to the store
     * @param vacantVersion the version at which the key became vacant; varies the order of equal hosts
     */
    Duration of(Duration roundTrip, long vacantVersion, Instant now) {
        Duration distanceDelay = roundTrip.multipliedBy(ROUND_TRIPS);
        if (distanceDelay.compareTo(MAX_ROUND_TRIP_DELAY) > 0) {
            distanceDelay = MAX_ROUND_TRIP_DELAY;
        }
        long jitter = Math.floorMod(process.value().hashCode() * 31L + vacantVersion, MAX_JITTER_MILLIS);
        Duration newProcessDelay = now.isBefore(startedAt.plus(NEW_PROCESS_TIME)) ? NEW_PROCESS_DELAY : Duration.ZERO;
        return distanceDelay.plus(processorDelay).plus(newProcessDelay).plusMillis(jitter);
    }
}
