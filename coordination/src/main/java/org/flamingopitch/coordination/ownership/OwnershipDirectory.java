package org.flamingopitch.coordination.ownership;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.StoreWatcher;

/** The owners of the partitions of all groups, as last received from the store; they may be out of date. */
public final class OwnershipDirectory {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final String prefix;

    private final Map<String, OwnershipMap> maps = new TreeMap<>();

    private final Map<PartitionId, ProcessId> owners = new HashMap<>();

    /**
     * Creates a directory.
     *
     * @param watcher delivers the changes of the groups' keys
     * @param prefix the prefix of the groups' keys
     */
    public OwnershipDirectory(StoreWatcher watcher, String prefix) {
        this.prefix = prefix;
        watcher.addListener(this::applyEntry);
    }

    /**
     * Returns the owner of a partition.
     *
     * @param partition the partition
     * @return the owner last received from the store, or nothing if there is none
     */
    public Optional<ProcessId> owner(PartitionId partition) {
        return Optional.ofNullable(owners.get(partition));
    }

    /**
     * Returns the owners of all partitions.
     *
     * @return the entries of all groups
     */
    public List<OwnershipEntry> entries() {
        List<OwnershipEntry> entries = new ArrayList<>();
        maps.values().forEach(map -> entries.addAll(map.entries()));
        return entries;
    }

    private void applyEntry(KeyValueEntry entry) {
        if (!entry.key().startsWith(prefix) || entry.deleted()) {
            return;
        }
        try {
            maps.put(entry.key(), JsonCodec.json().decode(entry.value(), OwnershipMap.class));
        } catch (IllegalArgumentException e) {
            LOGGER.atSevere().log(
                    "event=ownership_unreadable key=%s version=%d detail=\"%s\"",
                    entry.key(), entry.version(), e.getMessage());
            return;
        }
        owners.clear();
        entries().forEach(each -> owners.put(each.partition(), each.owner()));
    }
}
