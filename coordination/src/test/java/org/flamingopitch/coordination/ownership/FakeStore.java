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

/** An in-memory fake of the key-value service with compare-and-swap, leases and watches, driven by a fake clock. */
public final class FakeStore {

    private final Map<String, KeyValueEntry> keys = new TreeMap<>();

    private final Map<String, String> leaseIdByKey = new HashMap<>();

    private final Map<String, Instant> leaseExpiries = new TreeMap<>();

    private final Map<String, Duration> timesToLive = new HashMap<>();

    private final List<PendingWatch> pendingWatches = new ArrayList<>();

    private final List<KeyValueEntry> history = new ArrayList<>();

    private Instant now = Instant.parse("2026-01-05T06:00:00Z");

    private long revision = 1;

    /**
     * Returns the time of the fake clock.
     *
     * @return the time
     */
    public Instant now() {
        return now;
    }

    /**
     * Advances the fake clock, expires leases and answers watches that are due.
     *
     * @param duration how far to advance the clock
     */
    public void advance(Duration duration) {
        now = now.plus(duration);
        for (String lease : List.copyOf(leaseExpiries.keySet())) {
            if (!now.isBefore(leaseExpiries.get(lease))) {
                leaseExpiries.remove(lease);
                List.copyOf(leaseIdByKey.entrySet()).stream()
                        .filter(entry -> entry.getValue().equals(lease))
                        .forEach(entry -> applyChange(entry.getKey(), null));
            }
        }
        answerWatches();
    }

    /**
     * Answers a call immediately, or a watch at the first change or after its maximum wait.
     *
     * @param request the call
     * @param answer receives the result
     */
    public void call(KeyValueRequest request, Consumer<KeyValueResult> answer) {
        if (request instanceof KeyValueRequest.Watch watch) {
            pendingWatches.add(new PendingWatch(watch, now.plus(watch.maxWait()), answer));
        } else {
            answer.accept(applyCall(request));
        }
        answerWatches();
    }

    /**
     * Returns the result of a call that got no answer.
     *
     * @return the result
     */
    public static KeyValueResult failed() {
        return new KeyValueResult.Failed(new Failure("kv.call", "store", "no answer"));
    }

    private KeyValueResult applyCall(KeyValueRequest request) {
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
            return applyPut(put);
        }
        if (request instanceof KeyValueRequest.Delete delete) {
            applyChange(delete.key(), null);
            return new KeyValueResult.Written(0);
        }
        return applyLeaseCall(request);
    }

    private KeyValueResult applyPut(KeyValueRequest.Put put) {
        long version = keys.containsKey(put.key()) ? keys.get(put.key()).version() : 0;
        if (put.leaseId() != null && !leaseExpiries.containsKey(put.leaseId())) {
            return new KeyValueResult.LeaseEnded();
        }
        if (version != put.expectedVersion()) {
            return new KeyValueResult.Conflict(version);
        }
        applyChange(put.key(), put.value());
        if (put.leaseId() != null) {
            leaseIdByKey.put(put.key(), put.leaseId());
        }
        return new KeyValueResult.Written(revision);
    }

    private KeyValueResult applyLeaseCall(KeyValueRequest request) {
        if (request instanceof KeyValueRequest.GrantLease grant) {
            String lease = "lease-" + (timesToLive.size() + 1);
            timesToLive.put(lease, grant.timeToLive());
            leaseExpiries.put(lease, now.plus(grant.timeToLive()));
            return new KeyValueResult.Leased(lease);
        }
        if (request instanceof KeyValueRequest.RenewLease renew) {
            if (!leaseExpiries.containsKey(renew.leaseId())) {
                return new KeyValueResult.LeaseEnded();
            }
            leaseExpiries.put(renew.leaseId(), now.plus(timesToLive.get(renew.leaseId())));
            return new KeyValueResult.Leased(renew.leaseId());
        }
        return new KeyValueResult.LeaseEnded();
    }

    private void applyChange(String key, String value) {
        revision++;
        KeyValueEntry entry = new KeyValueEntry(key, value, revision);
        if (value == null) {
            keys.remove(key);
            leaseIdByKey.remove(key);
        } else {
            keys.put(key, entry);
        }
        history.add(entry);
    }

    private void answerWatches() {
        for (PendingWatch pending : List.copyOf(pendingWatches)) {
            List<KeyValueEntry> changes = history.stream()
                    .filter(entry -> entry.version() > pending.watch().afterRevision()
                            && entry.key().startsWith(pending.watch().prefix()))
                    .toList();
            if (!changes.isEmpty() || !now.isBefore(pending.deadline())) {
                pendingWatches.remove(pending);
                pending.answer().accept(new KeyValueResult.Listed(changes, revision, false));
            }
        }
    }

    private record PendingWatch(KeyValueRequest.Watch watch, Instant deadline, Consumer<KeyValueResult> answer) {}
}
