package org.flamingopitch.standins.kv;

/**
 * One key, or the deletion of one.
 *
 * @param key the key
 * @param value the value, or null for a deleted key
 * @param version the revision of its last change
 */
public record StoredKey(String key, String value, long version) {}
