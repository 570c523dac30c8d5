package org.flamingopitch.coordination.kv;

import java.time.Duration;
import java.util.List;

/** A request to the key-value store. */
public sealed interface KeyValueRequest {

    /** Expected version of a key that must not exist. */
    long ABSENT = 0;

    /** Expected version of a deletion that applies to any version of the key. */
    long ANY = -1;

    /**
     * Returns whether the request may change the store, so that without an answer its outcome is unknown.
     *
     * @return whether the request may change the store
     */
    default boolean changesStore() {
        return true;
    }

    /**
     * Reads one key.
     *
     * @param key the key
     */
    record Get(String key) implements KeyValueRequest {
        @Override
        public boolean changesStore() {
            return false;
        }
    }

    /**
     * Reads all keys with a prefix.
     *
     * @param prefix the prefix
     */
    record ListPrefix(String prefix) implements KeyValueRequest {
        @Override
        public boolean changesStore() {
            return false;
        }
    }

    /**
     * Reads the next keys with a prefix, as many as the store returns in one answer; the result tells whether there are
     * more.
     *
     * @param prefix the prefix
     * @param after the key after which to begin, empty for the first page
     */
    record ListPage(String prefix, String after) implements KeyValueRequest {
        @Override
        public boolean changesStore() {
            return false;
        }
    }

    /**
     * Waits for changes of keys with a prefix (long poll).
     *
     * @param prefix the prefix
     * @param afterRevision the store revision after which changes are returned
     * @param maxWait how long the store may wait for a change before it answers
     */
    record Watch(String prefix, long afterRevision, Duration maxWait) implements KeyValueRequest {
        @Override
        public boolean changesStore() {
            return false;
        }
    }

    /**
     * Writes a key if its version is the expected one.
     *
     * @param key the key
     * @param value the value, at most 1 MB
     * @param expectedVersion the version that the key must have, or {@link #ABSENT}
     * @param leaseId the lease whose end deletes the key, or null
     */
    record Put(String key, String value, long expectedVersion, String leaseId) implements KeyValueRequest {}

    /**
     * Deletes a key if its version is the expected one.
     *
     * @param key the key
     * @param expectedVersion the version that the key must have, or {@link #ANY}
     */
    record Delete(String key, long expectedVersion) implements KeyValueRequest {}

    /**
     * Grants a lease.
     *
     * @param timeToLive how long the lease lasts unless it is renewed
     */
    record GrantLease(Duration timeToLive) implements KeyValueRequest {}

    /**
     * Renews a lease.
     *
     * @param leaseId the id of the lease
     */
    record RenewLease(String leaseId) implements KeyValueRequest {}

    /**
     * Ends a lease and deletes its keys.
     *
     * @param leaseId the id of the lease
     */
    record RevokeLease(String leaseId) implements KeyValueRequest {}

    /**
     * Changes several keys atomically if all conditions hold; otherwise changes none.
     *
     * @param conditions the versions that keys must have
     * @param writes the keys to write
     * @param deletions the keys to delete
     */
    record Transaction(List<Condition> conditions, List<Write> writes, List<String> deletions)
            implements KeyValueRequest {}

    /**
     * A condition of a transaction: the key has the version.
     *
     * @param key the key
     * @param version the required version, or {@link #ABSENT}
     */
    record Condition(String key, long version) {}

    /**
     * A write of a transaction.
     *
     * @param key the key
     * @param value the value
     * @param leaseId the lease whose end deletes the key, or null
     */
    record Write(String key, String value, String leaseId) {}
}
