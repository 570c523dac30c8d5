package org.flamingopitch.coordination.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.flamingopitch.coordination.api.PartitionId;

/**
 * The owners of a group's partitions, in the form that is stored.
 *
 * @param writeId identifies the write that stored this map, so that a writer recognizes its own write after a lost answer
 * @param entries the owners, at most one for each partition
 */
public record OwnershipMap(String writeId, List<OwnershipEntry> entries) {

    /** Rejects a map without entries or with one that is missing. */
    public OwnershipMap {
        entries = List.copyOf(entries);
    }

    /**
     * Returns the map of a group without owners.
     *
     * @return a map without entries
     */
    public static OwnershipMap empty() {
        return new OwnershipMap("", List.of());
    }

    /**
     * Returns the entry of a partition.
     *
     * @param partition the partition
     * @return its entry, or nothing if it has no owner
     */
    public Optional<OwnershipEntry> entry(PartitionId partition) {
        return entries.stream()
                .filter(entry -> entry.partition().equals(partition))
                .findFirst();
    }

    /**
     * Returns a copy of this map with the entries of some partitions replaced or added.
     *
     * @param changes the new entries
     * @param newWriteId identifies the write of the copy
     * @return the changed map
     */
    public OwnershipMap with(List<OwnershipEntry> changes, String newWriteId) {
        List<OwnershipEntry> changed = new ArrayList<>(entries);
        for (OwnershipEntry change : changes) {
            changed.removeIf(entry -> entry.partition().equals(change.partition()));
            changed.add(change);
        }
        changed.sort((left, right) -> left.partition().compareTo(right.partition()));
        return new OwnershipMap(newWriteId, List.copyOf(changed));
    }
}
