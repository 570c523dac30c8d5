package org.flamingopitch.coordination.membership;

import java.util.Objects;
import org.flamingopitch.coordination.api.ProcessId;

/**
 * A member: what a registered process publishes about itself in the store.
 *
 * @param id the process
 * @param dataCentre the data centre that it runs in
 * @param region the region of the data centre
 * @param peerAddress the address at which peers connect to it
 * @param draining whether it is handing over its partitions
 */
public record Member(ProcessId id, String dataCentre, String region, String peerAddress, boolean draining) {

    /** Rejects a member with a missing property. */
    public Member {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(peerAddress, "peerAddress");
    }

    /**
     * Returns a copy of this member that is marked as draining.
     *
     * @return the copy
     */
    public Member asDraining() {
        return new Member(id, dataCentre, region, peerAddress, true);
    }
}
