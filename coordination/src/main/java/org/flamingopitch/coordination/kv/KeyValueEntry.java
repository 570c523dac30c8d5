package org.flamingopitch.coordination.kv;

/**
 * One key of the service.
 *
 * @param key the key
 * @param value the value, or null for a deleted key
 * @param version the revision of the last change of this key
 */
public record KeyValueEntry(String key, String value, long version) {

    /**
     * Tells whether the key was deleted.
     *
     * @return whether this entry reports a deletion
     */
    public boolean deleted() {
        return value == null;
    }
}
