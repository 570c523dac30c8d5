package org.flamingopitch.coordination.kv;

import java.util.List;
import org.flamingopitch.coordination.api.Failure;

/** The outcome of a request to the key-value store. */
public sealed interface KeyValueResult {

    /**
     * Returns whether the store answered.
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
     * The keys with a prefix or their changes, up to a store revision.
     *
     * @param entries the keys; in the answer to a watch also deletions
     * @param revision the store revision up to which the entries are current
     * @param complete whether the entries are all keys with the prefix, rather than only the changed ones; of a page,
     *     whether it is the last one
     */
    record Listed(List<KeyValueEntry> entries, long revision, boolean complete) implements KeyValueResult {

        /**
         * Returns the key after which the next page begins.
         *
         * @return the last key; there is one unless the page is the last one
         */
        public String lastKey() {
            return entries.get(entries.size() - 1).key();
        }
    }

    /**
     * The write took effect.
     *
     * @param version the key's new version
     */
    record Written(long version) implements KeyValueResult {}

    /**
     * The key does not have the expected version; nothing was written.
     *
     * @param actualVersion the version of the key, 0 if it does not exist
     */
    record Conflict(long actualVersion) implements KeyValueResult {}

    /**
     * The lease was granted or renewed.
     *
     * @param leaseId the id of the lease
     */
    record Leased(String leaseId) implements KeyValueResult {}

    /**
     * A condition of a transaction does not hold; nothing was written.
     *
     * @param actual the current entries of the keys in the conditions, without keys that do not exist
     */
    record ConditionFailed(List<KeyValueEntry> actual) implements KeyValueResult {}

    /** The lease has ended. */
    record LeaseEnded() implements KeyValueResult {}

    /**
     * The store does not accept the transaction, for example because a value is too large; it was not executed, and
     * neither would be a repetition.
     *
     * @param failure the error
     */
    record Rejected(Failure failure) implements KeyValueResult {}

    /**
     * The store did not answer; if the request was a write, it may have taken effect.
     *
     * @param failure the error
     */
    record Failed(Failure failure) implements KeyValueResult {
        @Override
        public boolean answered() {
            return false;
        }
    }
}
