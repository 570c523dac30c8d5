package org.flamingopitch.standins.kv;

import java.util.List;

/**
 * Keys or changes up to a revision.
 *
 * @param entries the keys or changes
 * @param revision the revision that they show
 * @param complete whether these are all keys with the prefix, not just changes
 */
public record StoredKeys(List<StoredKey> entries, long revision, boolean complete) {}
