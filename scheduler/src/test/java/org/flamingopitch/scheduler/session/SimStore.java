package org.flamingopitch.scheduler.session;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.standins.kv.KeyValueModel;
import org.flamingopitch.standins.kv.StoredKey;
import org.flamingopitch.standins.kv.StoredKeys;
import org.flamingopitch.standins.kv.WriteResult;

/** The key-value service's form for sessions: the stand-in's model behind the port's types. */
final class SimStore {

    private final KeyValueModel model = new KeyValueModel();

    private final List<Waiting> watches = new ArrayList<>();

    KeyValueModel model() {
        return model;
    }

    void call(Instant now, KeyValueRequest request, Consumer<KeyValueResult> answer) {
        model.expire(now);
        if (request instanceof KeyValueRequest.Watch watch) {
            model.countWatchAsRead();
            watches.add(new Waiting(watch, now.plus(watch.maxWait()), answer));
        } else {
            answer.accept(result(now, request));
        }
        serve(now);
    }

    void tick(Instant now) {
        model.expire(now);
        serve(now);
    }

    void dropWatches() {
        watches.clear();
    }

    private void serve(Instant now) {
        for (Waiting waiting : List.copyOf(watches)) {
            KeyValueRequest.Watch watch = waiting.watch();
            Optional<StoredKeys> changes = model.changes(watch.prefix(), watch.afterRevision());
            if (changes.isPresent()) {
                watches.remove(waiting);
                waiting.answer().accept(listed(changes.get()));
            } else if (!now.isBefore(waiting.until())) {
                watches.remove(waiting);
                waiting.answer().accept(new KeyValueResult.Listed(List.of(), model.revision(), false));
            }
        }
    }

    private KeyValueResult result(Instant now, KeyValueRequest request) {
        if (request instanceof KeyValueRequest.Get get) {
            return model.get(get.key())
                    .<KeyValueResult>map(key -> new KeyValueResult.Found(entry(key)))
                    .orElse(new KeyValueResult.Missing());
        }
        if (request instanceof KeyValueRequest.ListPrefix list) {
            return listed(model.list(list.prefix()));
        }
        if (request instanceof KeyValueRequest.Put put) {
            return written(model.put(put.key(), put.value(), put.expectedVersion(), put.leaseId()));
        }
        if (request instanceof KeyValueRequest.Delete delete) {
            return written(model.delete(delete.key(), delete.expectedVersion()));
        }
        if (request instanceof KeyValueRequest.GrantLease grant) {
            return new KeyValueResult.Leased(model.grant(now, grant.timeToLive()));
        }
        if (request instanceof KeyValueRequest.RenewLease renew) {
            boolean renewed = model.renew(now, renew.leaseId());
            return renewed ? new KeyValueResult.Leased(renew.leaseId()) : new KeyValueResult.LeaseEnded();
        }
        KeyValueRequest.RevokeLease revoke = (KeyValueRequest.RevokeLease) request;
        model.revoke(revoke.leaseId());
        return new KeyValueResult.Leased(revoke.leaseId());
    }

    private static KeyValueResult written(WriteResult result) {
        return switch (result.status()) {
            case WRITTEN -> new KeyValueResult.Written(result.version());
            case CONFLICT -> new KeyValueResult.Conflict(result.version());
            case LEASE_ENDED -> new KeyValueResult.LeaseEnded();
        };
    }

    private static KeyValueResult listed(StoredKeys keys) {
        List<KeyValueEntry> entries =
                keys.entries().stream().map(SimStore::entry).toList();
        return new KeyValueResult.Listed(entries, keys.revision(), keys.complete());
    }

    private static KeyValueEntry entry(StoredKey key) {
        return new KeyValueEntry(key.key(), key.value(), key.version());
    }

    private record Waiting(KeyValueRequest.Watch watch, Instant until, Consumer<KeyValueResult> answer) {}
}
