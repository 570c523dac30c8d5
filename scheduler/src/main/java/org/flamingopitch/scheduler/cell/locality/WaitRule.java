package org.flamingopitch.scheduler.cell.locality;

import java.time.Instant;

/** Decides whether the waiting tasks of a step wait for their rack. */
public interface WaitRule {

    /**
     * Decides for the tasks of one step that find no free capacity in the rack.
     *
     * @param situation what is known about the tasks and their rack
     * @param now the present time
     * @return the decision
     */
    PlacementDecision decide(WaitSituation situation, Instant now);
}
