package org.flamingopitch.coordination.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * The stored form of the configuration. It includes the history of changes, so that a change and its history entry are
 * stored in one write.
 *
 * @param version the version, incremented by each change
 * @param document the text of the configuration
 * @param changes the latest changes, oldest first
 */
public record ConfigEnvelope(long version, String document, List<ConfigChange> changes) {

    private static final int MAX_HISTORY_CHANGES = 100;

    /** Rejects an envelope without a document; a missing history is empty. */
    public ConfigEnvelope {
        Objects.requireNonNull(document, "document");
        changes = changes == null ? List.of() : List.copyOf(changes);
    }

    /**
     * Returns the envelope in use before a configuration has been stored.
     *
     * @return version 0 with an empty document
     */
    public static ConfigEnvelope none() {
        return new ConfigEnvelope(0, "", List.of());
    }

    /**
     * Returns the envelope of the next version.
     *
     * @param newDocument the text of the new configuration
     * @param change the history entry of the change
     * @return the envelope of the new version, without the oldest changes above the limit
     */
    public ConfigEnvelope withChange(String newDocument, ConfigChange change) {
        List<ConfigChange> newChanges = new ArrayList<>(changes);
        newChanges.add(change);
        int excess = Math.max(0, newChanges.size() - MAX_HISTORY_CHANGES);
        return new ConfigEnvelope(
                change.version(), newDocument, List.copyOf(newChanges.subList(excess, newChanges.size())));
    }
}
