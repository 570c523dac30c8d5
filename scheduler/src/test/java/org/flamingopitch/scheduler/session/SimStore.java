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

/** Adapts the model of the stand-in for the key-value service to the requests and results of the scheduler's port. */
final class SimStore {

    private final KeyValueModel model = new KeyValueModel();

    private final List<OpenWatch> openWatches = new ArrayList<>();

    KeyValueModel model() {
        return model;
    }

    void call(Instant now, KeyValueRequest request, Consumer<KeyValueResult> answer) {
        model.expire(now);
        if (request instanceof KeyValueRequest.Watch watch) {
            model.countWatchAsRead();
            openWatches.add(new OpenWatch(watch, now.plus(watch.maxWait()), answer));
        } else {
            answer.accept(execute(now, request));
        }
        answerWatches(now);
    }

    void tick(Instant now) {
        model.expire(now);
        answerWatches(now);
    }

    void dropWatches() {
        openWatches.clear();
    }

    private void answerWatches(Instant now) {
        for (OpenWatch open : List.copyOf(openWatches)) {
            KeyValueRequest.Watch watch = open.watch();
            Optional<StoredKeys> changes = model.changes(watch.prefix(), watch.afterRevision());
            if (changes.isPresent()) {
                openWatches.remove(open);
                open.answer().accept(listed(changes.get()));
            } else if (!now.isBefore(open.until())) {
                openWatches.remove(open);
                open.answer().accept(new KeyValueResult.Listed(List.of(), model.revision(), false));
            }
        }
    }

    private KeyValueResult execute(Instant now, KeyValueRequest request) {
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

    private record OpenWatch(KeyValueRequest.Watch watch, Instant until, Consumer<KeyValueResult> answer) {}
}
