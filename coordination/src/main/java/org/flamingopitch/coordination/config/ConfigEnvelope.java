package org.flamingopitch.coordination.config;

import java.util.ArrayList;
import java.util.List;

/**
 * The configuration as the store holds it, with the latest changes, so that a change and its record are one write.
 *
 * @param version the version, one more with each change
 * @param document the configuration
 * @param changes the latest changes, oldest first
 */
public record ConfigEnvelope(long version, String document, List<ConfigChange> changes) {

    private static final int MAX_CHANGES = 100;

    /**
     * Returns the state before the first configuration.
     *
     * @return version 0 without a document
     */
    public static ConfigEnvelope none() {
        return new ConfigEnvelope(0, "", List.of());
    }

    /**
     * Returns the envelope of the next version.
     *
     * @param newDocument the new configuration
     * @param change what is recorded of the change
     * @return the changed envelope
     */
    public ConfigEnvelope next(String newDocument, ConfigChange change) {
        List<ConfigChange> newChanges = new ArrayList<>(changes);
        newChanges.add(change);
        int drop = Math.max(0, newChanges.size() - MAX_CHANGES);
        return new ConfigEnvelope(
                change.version(), newDocument, List.copyOf(newChanges.subList(drop, newChanges.size())));
    }
}
