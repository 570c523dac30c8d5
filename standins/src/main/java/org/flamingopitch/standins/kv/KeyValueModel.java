package org.flamingopitch.standins.kv;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The state of the key-value service; the caller passes the time in and takes care of threads. */
public final class KeyValueModel {

    private static final int MAX_HISTORY = 10_000;

    private static final long ANY_VERSION = -1;

    private final TreeMap<String, StoredKey> keys = new TreeMap<>();

    private final Map<String, String> leaseOfKey = new HashMap<>();

    private final Map<String, Lease> leases = new LinkedHashMap<>();

    private final Deque<StoredKey> history = new ArrayDeque<>();

    private long revision = 1;

    private long forgottenRevision = 1;

    private long lastLease;

    private long reads;

    private long writes;

    private long bytesWritten;

    /**
     * Reads a key.
     *
     * @param key the key
     * @return the key, if it exists
     */
    public Optional<StoredKey> get(String key) {
        reads++;
        return Optional.ofNullable(keys.get(key));
    }

    /**
     * Reads all keys with a prefix.
     *
     * @param prefix the prefix
     * @return the keys
     */
    public StoredKeys list(String prefix) {
        reads++;
        return all(prefix);
    }

    /**
     * Counts a waiting watch as a call.
     */
    public void countWatch() {
        reads++;
    }

    /**
     * Reads the changes of keys with a prefix.
     *
     * @param prefix the prefix
     * @param afterRevision the revision after which changes are wanted
     * @return the changes; all keys, if older changes are forgotten; nothing, if there is no change
     */
    public Optional<StoredKeys> changes(String prefix, long afterRevision) {
        if (afterRevision < forgottenRevision) {
            return Optional.of(all(prefix));
        }
        Map<String, StoredKey> latest = new LinkedHashMap<>();
        for (StoredKey change : history) {
            if (change.version() > afterRevision && change.key().startsWith(prefix)) {
                latest.put(change.key(), change);
            }
        }
        if (latest.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new StoredKeys(new ArrayList<>(latest.values()), revision, false));
    }

    /**
     * Returns the current revision.
     *
     * @return the revision
     */
    public long revision() {
        return revision;
    }

    /**
     * Writes a key if its version is the expected one.
     *
     * @param key the key
     * @param value the value
     * @param expectedVersion the expected version, 0 if it must not exist, -1 for any
     * @param lease the lease, or null
     * @return the result
     */
    public WriteResult put(String key, String value, long expectedVersion, String lease) {
        writes++;
        if (lease != null && !leases.containsKey(lease)) {
            return new WriteResult(WriteStatus.LEASE_ENDED, 0);
        }
        long actual = version(key);
        if (expectedVersion != ANY_VERSION && expectedVersion != actual) {
            return new WriteResult(WriteStatus.CONFLICT, actual);
        }
        bytesWritten += value.length();
        leaseOfKey.remove(key);
        if (lease != null) {
            leaseOfKey.put(key, lease);
        }
        return new WriteResult(WriteStatus.WRITTEN, change(key, value));
    }

    /**
     * Deletes a key if its version is the expected one.
     *
     * @param key the key
     * @param expectedVersion the expected version, -1 for any
     * @return the result
     */
    public WriteResult delete(String key, long expectedVersion) {
        writes++;
        long actual = version(key);
        if (expectedVersion != ANY_VERSION && expectedVersion != actual) {
            return new WriteResult(WriteStatus.CONFLICT, actual);
        }
        if (actual != 0) {
            leaseOfKey.remove(key);
            change(key, null);
        }
        return new WriteResult(WriteStatus.WRITTEN, 0);
    }

    /**
     * Grants a lease.
     *
     * @param now the current time
     * @param timeToLive how long it lasts
     * @return the lease
     */
    public String grant(Instant now, Duration timeToLive) {
        writes++;
        lastLease++;
        String lease = "lease-" + lastLease;
        leases.put(lease, new Lease(timeToLive, now.plus(timeToLive)));
        return lease;
    }

    /**
     * Renews a lease.
     *
     * @param now the current time
     * @param lease the lease
     * @return whether it had not ended
     */
    public boolean renew(Instant now, String lease) {
        writes++;
        expire(now);
        Lease known = leases.get(lease);
        if (known == null) {
            return false;
        }
        leases.put(lease, new Lease(known.timeToLive(), now.plus(known.timeToLive())));
        return true;
    }

    /**
     * Ends a lease.
     *
     * @param lease the lease
     */
    public void revoke(String lease) {
        writes++;
        end(lease);
    }

    /**
     * Ends the leases whose time is over.
     *
     * @param now the current time
     * @return whether any has ended
     */
    public boolean expire(Instant now) {
        List<String> ended = leases.entrySet().stream()
                .filter(entry -> !now.isBefore(entry.getValue().end()))
                .map(Map.Entry::getKey)
                .toList();
        ended.forEach(this::end);
        return !ended.isEmpty();
    }

    /**
     * Returns how many calls were answered.
     *
     * @return the counts
     */
    public CallCounts counts() {
        return new CallCounts(reads, writes, bytesWritten);
    }

    private StoredKeys all(String prefix) {
        List<StoredKey> found = new ArrayList<>();
        for (StoredKey key : keys.tailMap(prefix).values()) {
            if (!key.key().startsWith(prefix)) {
                break;
            }
            found.add(key);
        }
        return new StoredKeys(found, revision, true);
    }

    private long version(String key) {
        StoredKey known = keys.get(key);
        return known == null ? 0 : known.version();
    }

    private long change(String key, String value) {
        revision++;
        StoredKey changed = new StoredKey(key, value, revision);
        if (value == null) {
            keys.remove(key);
        } else {
            keys.put(key, changed);
        }
        history.add(changed);
        if (history.size() > MAX_HISTORY) {
            forgottenRevision = history.poll().version();
        }
        return revision;
    }

    private void end(String lease) {
        leases.remove(lease);
        List<String> leased = leaseOfKey.entrySet().stream()
                .filter(entry -> entry.getValue().equals(lease))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        for (String key : leased) {
            leaseOfKey.remove(key);
            change(key, null);
        }
    }

    private record Lease(Duration timeToLive, Instant end) {}
}
