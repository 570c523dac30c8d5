package org.flamingopitch.scheduler.cell.locality;

import java.time.Instant;

/** Where and when the waiting tasks of a step that prefer a rack are placed. */
public sealed interface PlacementDecision {

    /** Place a task in the rack now. */
    record PlaceNear() implements PlacementDecision {}

    /** Place the tasks on other racks now. */
    record PlaceFar() implements PlacementDecision {}

    /**
     * Leave the tasks waiting for their rack.
     *
     * @param until when to decide again at the latest
     */
    record WaitForRack(Instant until) implements PlacementDecision {}
}
