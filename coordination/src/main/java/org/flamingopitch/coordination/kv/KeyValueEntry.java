package org.flamingopitch.coordination.kv;

/**
 * A key of the key-value store with its value.
 *
 * @param key the key
 * @param value the value, or null for a deleted key
 * @param version the store revision of the last change of this key
 */
public record KeyValueEntry(String key, String value, long version) {

    /**
     * Returns whether the key was deleted.
     *
     * @return whether this entry is a deletion
     */
    public boolean deleted() {
        return value == null;
    }
}
