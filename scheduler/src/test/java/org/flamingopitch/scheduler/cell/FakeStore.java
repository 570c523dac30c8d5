package org.flamingopitch.scheduler.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;

/** An in-memory key-value store with conditional transactions; leases end only when revoked or ended by the test. */
public final class FakeStore {

    private final TreeMap<String, KeyValueEntry> entries = new TreeMap<>();

    private final TreeMap<String, String> leaseByKey = new TreeMap<>();

    private final List<String> leases = new ArrayList<>();

    private long revision = 1;

    private boolean unavailable;

    private boolean answersLost;

    /**
     * Sets whether all calls fail without being executed.
     *
     * @param isUnavailable whether calls fail
     */
    public void setUnavailable(boolean isUnavailable) {
        unavailable = isUnavailable;
    }

    /**
     * Sets whether the answers of calls that change the store are lost. The calls are executed nevertheless.
     *
     * @param areLost whether answers are lost
     */
    public void setAnswersLost(boolean areLost) {
        answersLost = areLost;
    }

    /** Ends all leases and removes the keys under them, as if no holder had renewed its lease. */
    public void endLeases() {
        List.copyOf(leases).forEach(this::endLease);
    }

    /**
     * Returns the value of a key.
     *
     * @param key the key
     * @return its value, or null if the key is absent
     */
    public String value(String key) {
        return entries.containsKey(key) ? entries.get(key).value() : null;
    }

    /**
     * Executes a request.
     *
     * @param request the request
     * @return its result, a failure if the store is unavailable or the answer is lost
     */
    public KeyValueResult apply(KeyValueRequest request) {
        if (unavailable) {
            return noAnswer();
        }
        KeyValueResult result = execute(request);
        return answersLost && request.changesStore() ? noAnswer() : result;
    }

    private static KeyValueResult noAnswer() {
        return new KeyValueResult.Failed(new Failure("store", "fake", "no answer"));
    }

    private KeyValueResult execute(KeyValueRequest request) {
        if (request instanceof KeyValueRequest.Get get) {
            KeyValueEntry entry = entries.get(get.key());
            return entry == null ? new KeyValueResult.Missing() : new KeyValueResult.Found(entry);
        }
        if (request instanceof KeyValueRequest.ListPrefix list) {
            return new KeyValueResult.Listed(entriesWithPrefix(list.prefix()), revision, true);
        }
        if (request instanceof KeyValueRequest.Watch watch) {
            // Returns all entries instead of the changes; a watcher accepts a complete list as the answer to a watch.
            return new KeyValueResult.Listed(entriesWithPrefix(watch.prefix()), revision, true);
        }
        if (request instanceof KeyValueRequest.GrantLease) {
            revision++;
            leases.add("lease" + revision);
            return new KeyValueResult.Leased("lease" + revision);
        }
        if (request instanceof KeyValueRequest.RenewLease renew) {
            return leases.contains(renew.leaseId())
                    ? new KeyValueResult.Leased(renew.leaseId())
                    : new KeyValueResult.LeaseEnded();
        }
        if (request instanceof KeyValueRequest.RevokeLease revoke) {
            endLease(revoke.leaseId());
            return new KeyValueResult.Leased(revoke.leaseId());
        }
        return transact((KeyValueRequest.Transaction) request);
    }

    private KeyValueResult transact(KeyValueRequest.Transaction transaction) {
        List<KeyValueEntry> actual = new ArrayList<>();
        boolean allHold = true;
        for (KeyValueRequest.Condition condition : transaction.conditions()) {
            KeyValueEntry entry = entries.get(condition.key());
            allHold &= condition.version() == (entry == null ? 0 : entry.version());
            if (entry != null) {
                actual.add(entry);
            }
        }
        if (!allHold) {
            return new KeyValueResult.ConditionFailed(actual);
        }
        revision++;
        for (KeyValueRequest.Write write : transaction.writes()) {
            entries.put(write.key(), new KeyValueEntry(write.key(), write.value(), revision));
            if (write.leaseId() != null) {
                leaseByKey.put(write.key(), write.leaseId());
            }
        }
        transaction.deletions().forEach(entries::remove);
        return new KeyValueResult.Written(revision);
    }

    private void endLease(String lease) {
        if (leases.remove(lease)) {
            revision++;
            leaseByKey.entrySet().removeIf(keyAndLease -> {
                boolean ended = keyAndLease.getValue().equals(lease);
                if (ended) {
                    entries.remove(keyAndLease.getKey());
                }
                return ended;
            });
        }
    }

    private List<KeyValueEntry> entriesWithPrefix(String prefix) {
        return entries.values().stream()
                .filter(entry -> entry.key().startsWith(prefix))
                .toList();
    }
}
