package org.flamingopitch.coordination.membership;

import org.flamingopitch.coordination.api.ProcessId;

/**
 * What a process tells about itself.
 *
 * @param id the process
 * @param dataCentre its data centre
 * @param region its region
 * @param peerAddress where other processes reach it
 * @param draining whether it hands over what it owns
 */
public record Member(ProcessId id, String dataCentre, String region, String peerAddress, boolean draining) {

    /**
     * Returns this member, marked as draining.
     *
     * @return the changed member
     */
    public Member asDraining() {
        return new Member(id, dataCentre, region, peerAddress, true);
    }
}
