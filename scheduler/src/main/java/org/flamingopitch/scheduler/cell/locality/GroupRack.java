package org.flamingopitch.scheduler.cell.locality;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The rack of a group of tasks that are slower when they run on several racks. It is chosen once; when a task of the
 * group runs on another rack, locality is lost for all.
 *
 * @param rack the label of the rack
 * @param lost whether a task of the group runs, or has run, on another rack
 */
public record GroupRack(String rack, boolean lost) {

    /**
     * Chooses the rack for a group of which no task runs yet.
     *
     * @param freeSlots how many tasks of the group each usable rack has free capacity for
     * @return the rack with the most slots, the first by name among equals; empty if no rack has a free slot
     */
    public static Optional<GroupRack> choose(Map<String, Long> freeSlots) {
        Map<String, Long> withSlots = new HashMap<>(freeSlots);
        withSlots.values().removeIf(slots -> slots <= 0);
        return withSlots.entrySet().stream()
                .max(Map.Entry.<String, Long>comparingByValue()
                        .thenComparing(Map.Entry.<String, Long>comparingByKey().reversed()))
                .map(entry -> new GroupRack(entry.getKey(), false));
    }

    /**
     * Returns the group's rack after a task of the group was placed.
     *
     * @param placedRack the rack of the task's worker
     * @return the same rack, with locality lost if the task's rack is another one
     */
    public GroupRack afterPlacement(String placedRack) {
        return lost || placedRack.equals(rack) ? this : new GroupRack(rack, true);
    }
}
