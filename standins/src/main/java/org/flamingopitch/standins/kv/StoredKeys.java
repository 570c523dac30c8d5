package org.flamingopitch.standins.kv;

import java.util.List;

/**
 * The keys that begin with a prefix at a revision, or the changes to them up to that revision.
 *
 * @param entries the keys or changes
 * @param revision the revision of the service when the entries were read
 * @param complete whether the entries are all keys with the prefix; if false, they are changes
 */
public record StoredKeys(List<StoredKey> entries, long revision, boolean complete) {}
