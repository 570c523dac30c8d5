package org.flamingopitch.coordination.kv;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.LoopContext;

/** Follows all keys with a prefix: one list call, then one waiting watch at a time; versions never go back. */
public final class StoreWatcher {

    /** How long one waiting call lasts at the most. */
    public static final Duration DEFAULT_WAIT = Duration.ofSeconds(10);

    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private final LoopContext context;

    private final String prefix;

    private final Duration watchWait;

    private final Map<String, KeyValueEntry> entries = new HashMap<>();

    private final List<Consumer<KeyValueEntry>> listeners = new ArrayList<>();

    private long revision;

    private boolean listed;

    private boolean stopped;

    private Instant lastAnswer = Instant.EPOCH;

    private Instant reconnected = Instant.EPOCH;

    private boolean lastCallFailed = true;

    /**
     * Creates a watcher.
     *
     * @param context the loop
     * @param prefix the prefix of the keys
     */
    public StoreWatcher(LoopContext context, String prefix) {
        this(context, prefix, DEFAULT_WAIT);
    }

    /**
     * Creates a watcher.
     *
     * @param context the loop
     * @param prefix the prefix of the keys
     * @param watchWait how long one waiting call lasts; a silent connection is noticed only after it
     */
    public StoreWatcher(LoopContext context, String prefix, Duration watchWait) {
        this.context = context;
        this.prefix = prefix;
        this.watchWait = watchWait;
    }

    /**
     * Adds a listener that sees each change once, in the order of versions for each key.
     *
     * @param listener receives the changes
     */
    public void listen(Consumer<KeyValueEntry> listener) {
        listeners.add(listener);
    }

    /** Starts to follow. */
    public void start() {
        list();
    }

    /** Stops to follow. */
    public void stop() {
        stopped = true;
    }

    /**
     * Tells whether the keys were read once.
     *
     * @return whether the first list call has been answered
     */
    public boolean listed() {
        return listed;
    }

    /**
     * Returns when the last answered call was answered.
     *
     * @return the time
     */
    public Instant lastAnswer() {
        return lastAnswer;
    }

    /**
     * Returns when the store answered after it had failed.
     *
     * @return the time of the first answer after the last failure
     */
    public Instant reconnected() {
        return reconnected;
    }

    /**
     * Tells whether the last call failed.
     *
     * @return whether the store seems to be out of reach
     */
    public boolean failing() {
        return lastCallFailed;
    }

    private void list() {
        if (stopped) {
            return;
        }
        context.keyValue(new KeyValueRequest.ListPrefix(prefix), this::applyResult);
    }

    private void watch() {
        if (stopped) {
            return;
        }
        context.keyValue(new KeyValueRequest.Watch(prefix, revision, watchWait), this::applyResult);
    }

    private void applyResult(KeyValueResult result) {
        if (result instanceof KeyValueResult.Listed list) {
            recordAnswer();
            if (list.revision() >= revision) {
                applyList(list);
            }
            watch();
            return;
        }
        lastCallFailed = true;
        context.schedule(RETRY_DELAY, this::list);
    }

    private void recordAnswer() {
        lastAnswer = context.now();
        if (lastCallFailed) {
            reconnected = context.now();
            lastCallFailed = false;
        }
    }

    private void applyList(KeyValueResult.Listed list) {
        listed = true;
        revision = list.revision();
        if (list.complete()) {
            deleteUnlisted(list);
        }
        for (KeyValueEntry entry : list.entries()) {
            applyEntry(entry);
        }
    }

    private void deleteUnlisted(KeyValueResult.Listed list) {
        Set<String> unlisted = new HashSet<>(entries.keySet());
        list.entries().forEach(entry -> unlisted.remove(entry.key()));
        unlisted.stream().sorted().forEach(key -> applyEntry(new KeyValueEntry(key, null, list.revision())));
    }

    private void applyEntry(KeyValueEntry entry) {
        KeyValueEntry known = entries.get(entry.key());
        if (known != null && known.version() >= entry.version()) {
            return;
        }
        if (entry.deleted()) {
            if (entries.remove(entry.key()) == null) {
                return;
            }
        } else {
            entries.put(entry.key(), entry);
        }
        listeners.forEach(listener -> listener.accept(entry));
    }
}
