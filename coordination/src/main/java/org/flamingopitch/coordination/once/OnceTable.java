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
 * Remembers each key with its outcome, and who waits for it.
 *
 * @param <T> the type of the outcomes
 */
public final class OnceTable<T> {

    private final Duration retention;

    private final Map<IdempotencyKey, OnceEntry<T>> entries = new HashMap<>();

    private final Deque<IdempotencyKey> byAge = new ArrayDeque<>();

    /**
     * Creates an empty table.
     *
     * @param retention how long a key is remembered
     */
    public OnceTable(Duration retention) {
        this.retention = retention;
    }

    /**
     * Looks up a key.
     *
     * @param key the key
     * @return its entry, if the key was seen
     */
    public Optional<OnceEntry<T>> find(IdempotencyKey key) {
        return Optional.ofNullable(entries.get(key));
    }

    /**
     * Adds a key that was not seen before.
     *
     * @param key the key
     * @param now the current time
     * @return its entry, without an outcome
     */
    public OnceEntry<T> add(IdempotencyKey key, Instant now) {
        OnceEntry<T> entry = new OnceEntry<>(key, now);
        if (entries.putIfAbsent(key, entry) != null) {
            throw new IllegalStateException("key " + key + " is in the table already");
        }
        byAge.add(key);
        return entry;
    }

    /**
     * Forgets a key that certainly did not run, so that it may run later.
     *
     * @param key the key
     */
    public void remove(IdempotencyKey key) {
        entries.remove(key);
    }

    /**
     * Forgets keys older than the retention.
     *
     * @param now the current time
     */
    public void expire(Instant now) {
        while (!byAge.isEmpty()) {
            OnceEntry<T> oldest = entries.get(byAge.peek());
            if (oldest != null && now.isBefore(oldest.addedAt().plus(retention))) {
                return;
            }
            entries.remove(byAge.poll());
        }
    }

    /**
     * Returns all entries.
     *
     * @return the entries
     */
    public Collection<OnceEntry<T>> entries() {
        return entries.values();
    }

    /**
     * One key.
     *
     * @param <T> the type of the outcomes
     */
    public static final class OnceEntry<T> {

        private final IdempotencyKey key;

        private final Instant addedAt;

        private final List<Consumer<T>> waiters = new ArrayList<>();

        private T outcome;

        private OnceEntry(IdempotencyKey key, Instant addedAt) {
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
         * Returns the outcome.
         *
         * @return the outcome, if the work has ended
         */
        public Optional<T> outcome() {
            return Optional.ofNullable(outcome);
        }

        /**
         * Passes the outcome on, now or when it is there.
         *
         * @param waiter receives the outcome
         */
        public void await(Consumer<T> waiter) {
            if (outcome != null) {
                waiter.accept(outcome);
                return;
            }
            waiters.add(waiter);
        }

        /**
         * Sets the outcome; the first one stays.
         *
         * @param newOutcome the outcome
         */
        public void finish(T newOutcome) {
            if (outcome != null) {
                return;
            }
            outcome = newOutcome;
            List<Consumer<T>> served = List.copyOf(waiters);
            waiters.clear();
            served.forEach(waiter -> waiter.accept(newOutcome));
        }
    }
}
