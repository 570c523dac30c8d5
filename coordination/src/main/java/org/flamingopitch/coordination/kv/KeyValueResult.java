package org.flamingopitch.coordination.kv;

import java.util.List;
import org.flamingopitch.coordination.api.Failure;

/** The outcome of a call to the key-value service. */
public sealed interface KeyValueResult {

    /**
     * Tells whether the service answered at all.
     *
     * @return false only for {@link Failed}
     */
    default boolean answered() {
        return true;
    }

    /**
     * The key that was read.
     *
     * @param entry the key and its value
     */
    record Found(KeyValueEntry entry) implements KeyValueResult {}

    /** The key does not exist. */
    record Missing() implements KeyValueResult {}

    /**
     * Keys or changes, up to a revision.
     *
     * @param entries the keys, deletions among them when they answer a watch
     * @param revision the store's revision that they show
     * @param complete whether the entries are all keys with the prefix, not just changes
     */
    record Listed(List<KeyValueEntry> entries, long revision, boolean complete) implements KeyValueResult {}

    /**
     * The write took effect.
     *
     * @param version the key's new version
     */
    record Written(long version) implements KeyValueResult {}

    /**
     * The key has another version; nothing was written.
     *
     * @param actualVersion the key's version, 0 if it does not exist
     */
    record Conflict(long actualVersion) implements KeyValueResult {}

    /**
     * The lease is granted or renewed.
     *
     * @param leaseId the lease
     */
    record Leased(String leaseId) implements KeyValueResult {}

    /**
     * A condition of a transaction does not hold; nothing was written.
     *
     * @param actual the keys of the conditions as they are; those that do not exist are missing
     */
    record ConditionFailed(List<KeyValueEntry> actual) implements KeyValueResult {}

    /** The lease has ended. */
    record LeaseEnded() implements KeyValueResult {}

    /**
     * No answer; a write may have taken effect.
     *
     * @param failure the step and peer
     */
    record Failed(Failure failure) implements KeyValueResult {
        @Override
        public boolean answered() {
            return false;
        }
    }
}
