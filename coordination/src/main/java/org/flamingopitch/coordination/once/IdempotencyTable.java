package org.flamingopitch.coordination.once;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The idempotency keys of the retention period, each with the outcome of its work or the callbacks that wait for it.
 *
 * @param <T> the type of the outcomes
 */
public final class IdempotencyTable<T> {

    private final Duration retention;

    private final Map<IdempotencyKey, IdempotencyEntry<T>> entries = new HashMap<>();

    private final Deque<IdempotencyKey> keysByAge = new ArrayDeque<>();

    /**
     * Creates an empty table.
     *
     * @param retention how long a key is kept
     */
    public IdempotencyTable(Duration retention) {
        this.retention = retention;
    }

    /**
     * Returns the entry of a key.
     *
     * @param key the key
     * @return its entry, or nothing if the key is not in the table
     */
    public Optional<IdempotencyEntry<T>> find(IdempotencyKey key) {
        return Optional.ofNullable(entries.get(key));
    }

    /**
     * Adds a key that is not in the table.
     *
     * @param key the key
     * @param now the current time
     * @return its entry, without an outcome
     * @throws IllegalStateException if the key is in the table
     */
    public IdempotencyEntry<T> add(IdempotencyKey key, Instant now) {
        IdempotencyEntry<T> entry = new IdempotencyEntry<>(key, now);
        if (entries.putIfAbsent(key, entry) != null) {
            throw new IllegalStateException("idempotency key " + key + " is already in the table");
        }
        keysByAge.add(key);
        return entry;
    }

    /**
     * Removes a key whose work certainly did not run, so that it may run later.
     *
     * @param key the key
     */
    public void remove(IdempotencyKey key) {
        entries.remove(key);
    }

    /**
     * Removes the keys that were added longer ago than the retention period.
     *
     * @param now the current time
     */
    public void expire(Instant now) {
        while (!keysByAge.isEmpty()) {
            IdempotencyEntry<T> oldest = entries.get(keysByAge.peek());
            if (oldest != null && now.isBefore(oldest.addedAt().plus(retention))) {
                return;
            }
            entries.remove(keysByAge.poll());
        }
    }

    /**
     * Returns all entries.
     *
     * @return the entries
     */
    public Collection<IdempotencyEntry<T>> entries() {
        return entries.values();
    }

    /**
     * A key with the outcome of its work, once there is one.
     *
     * @param <T> the type of the outcomes
     */
    public static final class IdempotencyEntry<T> {

        private final IdempotencyKey key;

        private final Instant addedAt;

        private final List<Consumer<T>> waiters = new ArrayList<>();

        private T outcome;

        private IdempotencyEntry(IdempotencyKey key, Instant addedAt) {
            this.key = key;
            this.addedAt = addedAt;
        }

        /**
         * Returns the key.
         *
         * @return the key
         */
        public IdempotencyKey key() {
            return key;
        }

        /**
         * Returns when the key was added.
         *
         * @return the time
         */
        public Instant addedAt() {
            return addedAt;
        }

        /**
         * Returns the outcome of the work.
         *
         * @return the outcome, or nothing while the work has not ended
         */
        public Optional<T> outcome() {
            return Optional.ofNullable(outcome);
        }

        /**
         * Passes the outcome to a callback, now or when it is set.
         *
         * @param waiter receives the outcome
         */
        public void whenFinished(Consumer<T> waiter) {
            if (outcome != null) {
                waiter.accept(outcome);
                return;
            }
            waiters.add(waiter);
        }

        /**
         * Sets the outcome and passes it to all waiting callbacks; later outcomes are ignored.
         *
         * @param newOutcome the outcome
         */
        public void finish(T newOutcome) {
            if (outcome != null) {
                return;
            }
            outcome = newOutcome;
            List<Consumer<T>> waitersToNotify = List.copyOf(waiters);
            waiters.clear();
            waitersToNotify.forEach(waiter -> waiter.accept(newOutcome));
        }
    }
}
