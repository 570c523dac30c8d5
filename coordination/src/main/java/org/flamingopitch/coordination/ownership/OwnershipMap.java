package org.flamingopitch.coordination.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.flamingopitch.coordination.api.PartitionId;

/**
 * The owners of a group's partitions, as the store holds them.
 *
 * @param writeId names the write, so that a writer knows its own after a lost answer
 * @param entries the owners
 */
public record OwnershipMap(String writeId, List<OwnershipEntry> entries) {

    /**
     * Returns the map of a group that nobody has claimed yet.
     *
     * @return a map without entries
     */
    public static OwnershipMap empty() {
        return new OwnershipMap("", List.of());
    }

    /**
     * Looks up a partition.
     *
     * @param partition the partition
     * @return its entry, if it has an owner
     */
    public Optional<OwnershipEntry> entry(PartitionId partition) {
        return entries.stream()
                .filter(entry -> entry.partition().equals(partition))
                .findFirst();
    }

    /**
     * Returns a map in which some partitions have other owners.
     *
     * @param changes the new entries
     * @param newWriteId names the write
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
