package org.flamingopitch.standins.kv;

/**
 * A key with its value, or the deletion of a key.
 *
 * @param key the key
 * @param value the value, or null for a deleted key
 * @param version the revision of the last change of the key
 */
public record StoredKey(String key, String value, long version) {}
