package org.flamingopitch.coordination.kv;

import java.time.Duration;
import java.util.List;

/** A call to the key-value service. */
public sealed interface KeyValueRequest {

    /** The expected version that means: the key must not exist. */
    long ABSENT = 0;

    /** The expected version that lets a deletion succeed whatever the version is. */
    long ANY = -1;

    /**
     * Tells whether an answer that is lost may hide an effect.
     *
     * @return whether the call changes the store
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
     * Waits for changes of keys with a prefix.
     *
     * @param prefix the prefix
     * @param afterRevision the revision after which changes are of interest
     * @param maxWait how long the service may hold the call
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
     * @param value the value, at most a megabyte
     * @param expectedVersion the version that the key must have, or {@link #ABSENT}
     * @param leaseId the lease with whose end the key is deleted, or null
     */
    record Put(String key, String value, long expectedVersion, String leaseId) implements KeyValueRequest {}

    /**
     * Deletes a key if its version is the expected one.
     *
     * @param key the key
     * @param expectedVersion the version that the key must have
     */
    record Delete(String key, long expectedVersion) implements KeyValueRequest {}

    /**
     * Asks for a lease.
     *
     * @param timeToLive how long it lasts without renewal
     */
    record GrantLease(Duration timeToLive) implements KeyValueRequest {}

    /**
     * Renews a lease.
     *
     * @param leaseId the lease
     */
    record RenewLease(String leaseId) implements KeyValueRequest {}

    /**
     * Ends a lease and deletes its keys.
     *
     * @param leaseId the lease
     */
    record RevokeLease(String leaseId) implements KeyValueRequest {}

    /**
     * Changes several keys at once, or nothing.
     *
     * @param conditions the versions that keys must have
     * @param writes the keys to write
     * @param deletions the keys to delete
     */
    record Transaction(List<Condition> conditions, List<Write> writes, List<String> deletions)
            implements KeyValueRequest {}

    /**
     * A key must have a version.
     *
     * @param key the key
     * @param version the version, or {@link #ABSENT}
     */
    record Condition(String key, long version) {}

    /**
     * Writes a key.
     *
     * @param key the key
     * @param value the value
     * @param leaseId the lease with whose end the key is deleted, or null
     */
    record Write(String key, String value, String leaseId) {}
}
