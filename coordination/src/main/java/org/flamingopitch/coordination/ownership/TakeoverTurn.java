package org.flamingopitch.coordination.ownership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.flamingopitch.coordination.api.PartitionId;

/**
 * Decides when it is this process's turn to take over a partition that it may take over. The proposed owner comes first;
 * after a delay any process may, because the proposed owner may be one that the former owner does not know.
 */
final class TakeoverTurn {

    private final Duration delay;

    private final Map<PartitionId, Instant> permittedSince = new HashMap<>();

    /**
     * Creates an instance without permitted takeovers.
     *
     * @param delay how long a process that is not the proposed owner waits for the proposed owner
     */
    TakeoverTurn(Duration delay) {
        this.delay = delay;
    }

    /** Returns whether this process may take over a partition now; called at short intervals while it is permitted to. */
    boolean hasCome(PartitionId partition, boolean proposed, Instant now) {
        Instant since = permittedSince.computeIfAbsent(partition, each -> now);
        return proposed || !now.isBefore(since.plus(delay));
    }

    /** Ends the wait for a partition that this process may not take over, or no longer needs to. */
    void clear(PartitionId partition) {
        permittedSince.remove(partition);
    }
}
