package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import org.flamingopitch.coordination.api.ProcessId;

/**
 * Computes how long a process waits before it campaigns for a vacant owner's key. Hosts with more processor time and a
 * shorter way to the store campaign earlier, so that the host that can order the most workers usually wins.
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

    private final ProcessId process;

    private final Duration processorDelay;

    /**
     * Creates the delays of one process.
     *
     * @param candidate the process
     */
    CampaignDelay(OwnerRecord candidate) {
        this.process = candidate.process();
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
    Duration of(Duration roundTrip, long vacantVersion) {
        Duration distanceDelay = roundTrip.multipliedBy(ROUND_TRIPS);
        if (distanceDelay.compareTo(MAX_ROUND_TRIP_DELAY) > 0) {
            distanceDelay = MAX_ROUND_TRIP_DELAY;
        }
        long jitter = Math.floorMod(process.value().hashCode() * 31L + vacantVersion, MAX_JITTER_MILLIS);
        return distanceDelay.plus(processorDelay).plusMillis(jitter);
    }
}
