package org.flamingopitch.scheduler.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;

/** A store in memory with conditional transactions and leases that a test ends. */
public final class FakeStore {

    private final TreeMap<String, KeyValueEntry> entries = new TreeMap<>();

    private final TreeMap<String, String> leaseOf = new TreeMap<>();

    private final List<String> leases = new ArrayList<>();

    private long revision = 1;

    private boolean down;

    private boolean losesAnswers;

    /**
     * Answers or fails from now on.
     *
     * @param isDown whether it fails
     */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /**
     * Carries writes out without an answer from now on.
     *
     * @param loses whether answers are lost
     */
    public void setLosesAnswers(boolean loses) {
        losesAnswers = loses;
    }

    /** Ends all leases, as if their holders had died. */
    public void endLeases() {
        List.copyOf(leases).forEach(this::end);
    }

    /**
     * Reads a key.
     *
     * @param key the key
     * @return its value, or null
     */
    public String value(String key) {
        return entries.containsKey(key) ? entries.get(key).value() : null;
    }

    /**
     * Carries a call out.
     *
     * @param request the call
     * @return its result
     */
    public KeyValueResult apply(KeyValueRequest request) {
        if (down) {
            return failed();
        }
        KeyValueResult result = carryOut(request);
        return losesAnswers && request.changesStore() ? failed() : result;
    }

    private static KeyValueResult failed() {
        return new KeyValueResult.Failed(new Failure("store", "fake", "no answer"));
    }

    private KeyValueResult carryOut(KeyValueRequest request) {
        if (request instanceof KeyValueRequest.Get get) {
            KeyValueEntry entry = entries.get(get.key());
            return entry == null ? new KeyValueResult.Missing() : new KeyValueResult.Found(entry);
        }
        if (request instanceof KeyValueRequest.ListPrefix list) {
            return new KeyValueResult.Listed(withPrefix(list.prefix()), revision, true);
        }
        if (request instanceof KeyValueRequest.Watch watch) {
            // Shows the whole state; a watcher takes it as a list that came again.
            return new KeyValueResult.Listed(withPrefix(watch.prefix()), revision, true);
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
            end(revoke.leaseId());
            return new KeyValueResult.Leased(revoke.leaseId());
        }
        return transact((KeyValueRequest.Transaction) request);
    }

    private KeyValueResult transact(KeyValueRequest.Transaction transaction) {
        List<KeyValueEntry> actual = new ArrayList<>();
        boolean holds = true;
        for (KeyValueRequest.Condition condition : transaction.conditions()) {
            KeyValueEntry entry = entries.get(condition.key());
            holds &= condition.version() == (entry == null ? 0 : entry.version());
            if (entry != null) {
                actual.add(entry);
            }
        }
        if (!holds) {
            return new KeyValueResult.ConditionFailed(actual);
        }
        revision++;
        for (KeyValueRequest.Write write : transaction.writes()) {
            entries.put(write.key(), new KeyValueEntry(write.key(), write.value(), revision));
            if (write.leaseId() != null) {
                leaseOf.put(write.key(), write.leaseId());
            }
        }
        transaction.deletions().forEach(entries::remove);
        return new KeyValueResult.Written(revision);
    }

    private void end(String lease) {
        if (leases.remove(lease)) {
            revision++;
            leaseOf.entrySet().removeIf(each -> {
                boolean ended = each.getValue().equals(lease);
                if (ended) {
                    entries.remove(each.getKey());
                }
                return ended;
            });
        }
    }

    private List<KeyValueEntry> withPrefix(String prefix) {
        return entries.values().stream()
                .filter(entry -> entry.key().startsWith(prefix))
                .toList();
    }
}
