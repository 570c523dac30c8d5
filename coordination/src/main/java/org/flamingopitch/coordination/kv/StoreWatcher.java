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

/**
 * Keeps track of all keys with a prefix: one list request, then one watch request (long poll) at a time. A listener
 * never receives an older version of a key after a newer one.
 */
public final class StoreWatcher {

    /** The default time that one watch request waits for a change. */
    public static final Duration DEFAULT_WATCH_WAIT = Duration.ofSeconds(10);

    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private final LoopContext context;

    private final String prefix;

    private final Duration watchWait;

    private final Map<String, KeyValueEntry> entries = new HashMap<>();

    private final List<Consumer<KeyValueEntry>> listeners = new ArrayList<>();

    private final List<Runnable> answerListeners = new ArrayList<>();

    private long revision;

    private int completeLists;

    private boolean stopped;

    private Instant lastAnswerAt = Instant.EPOCH;

    private Instant reconnectedAt = Instant.EPOCH;

    private boolean lastCallFailed = true;

    /**
     * Creates a watcher whose watch requests wait for {@link #DEFAULT_WATCH_WAIT}.
     *
     * @param context the time, timers and store calls
     * @param prefix the prefix of the keys
     */
    public StoreWatcher(LoopContext context, String prefix) {
        this(context, prefix, DEFAULT_WATCH_WAIT);
    }

    /**
     * Creates a watcher.
     *
     * @param context the time, timers and store calls
     * @param prefix the prefix of the keys
     * @param watchWait how long one watch request waits for a change; a broken connection may go undetected for as long
     */
    public StoreWatcher(LoopContext context, String prefix, Duration watchWait) {
        this.context = context;
        this.prefix = prefix;
        this.watchWait = watchWait;
    }

    /**
     * Adds a listener that receives each change once, in order of versions per key.
     *
     * @param listener receives the changes
     */
    public void addListener(Consumer<KeyValueEntry> listener) {
        listeners.add(listener);
    }

    /**
     * Adds a listener that runs after all changes of an answer of the store have been passed to the other listeners,
     * also if there were none.
     *
     * @param listener runs after each answer
     */
    public void addAnswerListener(Runnable listener) {
        answerListeners.add(listener);
    }

    /** Starts the list and watch requests. */
    public void start() {
        sendList();
    }

    /** Sends no further list and watch requests. */
    public void stop() {
        stopped = true;
    }

    /**
     * Takes an entry into account that another call has returned. Without it, a later list could not show that the key
     * was deleted in the meantime. An entry that is not newer than the last list or watch is ignored: the listeners know
     * it, or it was deleted or replaced before, which no later answer would show again.
     *
     * @param entry the entry, ignored if the watcher knows the same or a newer version of the key
     */
    public void observe(KeyValueEntry entry) {
        if (entry.key().startsWith(prefix) && entry.version() > revision) {
            applyEntry(entry);
        }
    }

    /**
     * Returns whether all keys have been listed at least once.
     *
     * @return whether a list request has been answered
     */
    public boolean initialListReceived() {
        return completeLists > 0;
    }

    /**
     * Returns how often all keys have been read. Between two such reads the listeners receive every change; a change
     * that was reversed before such a read is not reported.
     *
     * @return the number of answered list requests
     */
    public int completeLists() {
        return completeLists;
    }

    /**
     * Returns the time of the last answer of the store.
     *
     * @return the time, {@link Instant#EPOCH} before the first answer
     */
    public Instant lastAnswerAt() {
        return lastAnswerAt;
    }

    /**
     * Returns the time of the first answer of the store after the last failed request.
     *
     * @return the time, {@link Instant#EPOCH} before the first answer
     */
    public Instant reconnectedAt() {
        return reconnectedAt;
    }

    /**
     * Returns whether the last request failed.
     *
     * @return whether the last request got no answer; true before the first answer
     */
    public boolean lastCallFailed() {
        return lastCallFailed;
    }

    private void sendList() {
        if (stopped) {
            return;
        }
        context.callStore(new KeyValueRequest.ListPrefix(prefix), this::handleResult);
    }

    private void sendWatch() {
        if (stopped) {
            return;
        }
        context.callStore(new KeyValueRequest.Watch(prefix, revision, watchWait), this::handleResult);
    }

    private void handleResult(KeyValueResult result) {
        if (result instanceof KeyValueResult.Listed list) {
            recordAnswer();
            try {
                if (list.revision() >= revision) {
                    applyList(list);
                }
                answerListeners.forEach(Runnable::run);
            } finally {
                sendWatch();
            }
            return;
        }
        lastCallFailed = true;
        context.schedule(RETRY_DELAY, this::sendList);
    }

    private void recordAnswer() {
        lastAnswerAt = context.now();
        if (lastCallFailed) {
            reconnectedAt = context.now();
            lastCallFailed = false;
        }
    }

    private void applyList(KeyValueResult.Listed list) {
        revision = list.revision();
        if (list.complete()) {
            completeLists++;
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
        KeyValueEntry previous = entries.get(entry.key());
        if (previous != null && previous.version() >= entry.version()) {
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
