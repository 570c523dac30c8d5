package org.flamingopitch.coordination.kv;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * A key of the key-value store with its value.
 *
 * @param key the key
 * @param value the value, or null for a deleted key
 * @param version the store revision of the last change of this key
 * @param leaseId the lease under which this version was written and whose end deletes the key, or null if there is none
 *     or the store does not report it; not part of the JSON form
 */
public record KeyValueEntry(
        String key, String value, long version, @JsonIgnore String leaseId) {

    /**
     * Creates an entry without a known lease.
     *
     * @param key the key
     * @param value the value, or null for a deleted key
     * @param version the store revision of the last change of this key
     */
    public KeyValueEntry(String key, String value, long version) {
        this(key, value, version, null);
    }

    /**
     * Returns whether the key was deleted.
     *
     * @return whether this entry is a deletion
     */
    public boolean deleted() {
        return value == null;
    }
}
