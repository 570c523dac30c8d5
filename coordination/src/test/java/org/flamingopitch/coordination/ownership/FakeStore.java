package org.flamingopitch.coordination.ownership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;

/** A key-value service in memory: compare-and-swap, leases and watches. */
public final class FakeStore {

    private final Map<String, KeyValueEntry> keys = new TreeMap<>();

    private final Map<String, String> leaseOfKey = new HashMap<>();

    private final Map<String, Instant> leases = new TreeMap<>();

    private final Map<String, Duration> lengths = new HashMap<>();

    private final List<Waiting> watches = new ArrayList<>();

    private final List<KeyValueEntry> history = new ArrayList<>();

    private Instant now = Instant.parse("2026-01-05T06:00:00Z");

    private long revision = 1;

    /**
     * Returns the time.
     *
     * @return the fake clock's time
     */
    public Instant now() {
        return now;
    }

    /**
     * Lets time pass; leases that are over end.
     *
     * @param duration how much
     */
    public void advance(Duration duration) {
        now = now.plus(duration);
        for (String lease : List.copyOf(leases.keySet())) {
            if (!now.isBefore(leases.get(lease))) {
                leases.remove(lease);
                List.copyOf(leaseOfKey.entrySet()).stream()
                        .filter(entry -> entry.getValue().equals(lease))
                        .forEach(entry -> change(entry.getKey(), null));
            }
        }
        serve();
    }

    /**
     * Answers a call at once, a watch when there is a change.
     *
     * @param request the call
     * @param answer receives the result
     */
    public void call(KeyValueRequest request, Consumer<KeyValueResult> answer) {
        if (request instanceof KeyValueRequest.Watch watch) {
            watches.add(new Waiting(watch, now.plus(watch.maxWait()), answer));
        } else {
            answer.accept(result(request));
        }
        serve();
    }

    /**
     * Returns the result of a call without an answer.
     *
     * @return the result
     */
    public static KeyValueResult failed() {
        return new KeyValueResult.Failed(new Failure("kv.call", "store", "no answer"));
    }

    private KeyValueResult result(KeyValueRequest request) {
        if (request instanceof KeyValueRequest.Get get) {
            KeyValueEntry entry = keys.get(get.key());
            return entry == null ? new KeyValueResult.Missing() : new KeyValueResult.Found(entry);
        }
        if (request instanceof KeyValueRequest.ListPrefix list) {
            List<KeyValueEntry> entries = keys.values().stream()
                    .filter(entry -> entry.key().startsWith(list.prefix()))
                    .toList();
            return new KeyValueResult.Listed(entries, revision, true);
        }
        if (request instanceof KeyValueRequest.Put put) {
            return put(put);
        }
        if (request instanceof KeyValueRequest.Delete delete) {
            change(delete.key(), null);
            return new KeyValueResult.Written(0);
        }
        return lease(request);
    }

    private KeyValueResult put(KeyValueRequest.Put put) {
        long version = keys.containsKey(put.key()) ? keys.get(put.key()).version() : 0;
        if (put.leaseId() != null && !leases.containsKey(put.leaseId())) {
            return new KeyValueResult.LeaseEnded();
        }
        if (version != put.expectedVersion()) {
            return new KeyValueResult.Conflict(version);
        }
        change(put.key(), put.value());
        if (put.leaseId() != null) {
            leaseOfKey.put(put.key(), put.leaseId());
        }
        return new KeyValueResult.Written(revision);
    }

    private KeyValueResult lease(KeyValueRequest request) {
        if (request instanceof KeyValueRequest.GrantLease grant) {
            String lease = "lease-" + (lengths.size() + 1);
            lengths.put(lease, grant.timeToLive());
            leases.put(lease, now.plus(grant.timeToLive()));
            return new KeyValueResult.Leased(lease);
        }
        if (request instanceof KeyValueRequest.RenewLease renew) {
            if (!leases.containsKey(renew.leaseId())) {
                return new KeyValueResult.LeaseEnded();
            }
            leases.put(renew.leaseId(), now.plus(lengths.get(renew.leaseId())));
            return new KeyValueResult.Leased(renew.leaseId());
        }
        return new KeyValueResult.LeaseEnded();
    }

    private void change(String key, String value) {
        revision++;
        KeyValueEntry entry = new KeyValueEntry(key, value, revision);
        if (value == null) {
            keys.remove(key);
            leaseOfKey.remove(key);
        } else {
            keys.put(key, entry);
        }
        history.add(entry);
    }

    private void serve() {
        for (Waiting waiting : List.copyOf(watches)) {
            List<KeyValueEntry> changes = history.stream()
                    .filter(entry -> entry.version() > waiting.watch().afterRevision()
                            && entry.key().startsWith(waiting.watch().prefix()))
                    .toList();
            if (!changes.isEmpty() || !now.isBefore(waiting.until())) {
                watches.remove(waiting);
                waiting.answer().accept(new KeyValueResult.Listed(changes, revision, false));
            }
        }
    }

    private record Waiting(KeyValueRequest.Watch watch, Instant until, Consumer<KeyValueResult> answer) {}
}
