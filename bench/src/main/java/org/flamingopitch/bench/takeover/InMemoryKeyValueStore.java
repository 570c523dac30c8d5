package org.flamingopitch.bench.takeover;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.loop.TimerQueue;
import org.flamingopitch.standins.kv.KeyValueModel;
import org.flamingopitch.standins.kv.StoredKeys;
import org.flamingopitch.standins.kv.WriteResult;
import org.flamingopitch.standins.kv.WriteStatus;

/**
 * An in-memory key-value store behind a loop context: the stand-in's model answers each request immediately, and the
 * clock is advanced by the caller.
 */
public final class InMemoryKeyValueStore implements LoopContext {

    private final KeyValueModel model = new KeyValueModel();

    private final TimerQueue timers = new TimerQueue();

    private Instant now = Instant.parse("2026-01-05T06:00:00Z");

    /**
     * Returns the model that holds the keys and counts the calls.
     *
     * @return the model
     */
    public KeyValueModel model() {
        return model;
    }

    /**
     * Advances the clock and runs the timers that are due.
     *
     * @param duration the duration to advance by
     */
    public void advance(Duration duration) {
        now = now.plus(duration);
        timers.runDue(now);
    }

    @Override
    public Instant now() {
        return now;
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        timers.add(now.plus(delay), action);
    }

    @Override
    public void callStore(KeyValueRequest request, Consumer<KeyValueResult> handler) {
        handler.accept(execute(request));
    }

    private KeyValueResult execute(KeyValueRequest request) {
        if (request instanceof KeyValueRequest.Put put) {
            return toKeyValueResult(model.put(put.key(), put.value(), put.expectedVersion(), put.leaseId()));
        }
        if (request instanceof KeyValueRequest.Delete delete) {
            return toKeyValueResult(model.delete(delete.key(), delete.expectedVersion()));
        }
        if (request instanceof KeyValueRequest.ListPrefix list) {
            StoredKeys keys = model.list(list.prefix());
            List<KeyValueEntry> entries = keys.entries().stream()
                    .map(key -> new KeyValueEntry(key.key(), key.value(), key.version()))
                    .toList();
            return new KeyValueResult.Listed(entries, keys.revision(), true);
        }
        KeyValueRequest.Get get = (KeyValueRequest.Get) request;
        return model.get(get.key())
                .<KeyValueResult>map(
                        key -> new KeyValueResult.Found(new KeyValueEntry(key.key(), key.value(), key.version())))
                .orElse(new KeyValueResult.Missing());
    }

    private static KeyValueResult toKeyValueResult(WriteResult result) {
        return result.status() == WriteStatus.WRITTEN
                ? new KeyValueResult.Written(result.version())
                : new KeyValueResult.Conflict(result.version());
    }
}
