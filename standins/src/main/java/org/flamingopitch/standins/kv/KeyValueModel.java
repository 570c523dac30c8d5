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

/**
 * The state of the key-value service: versioned keys, leases and a history of changes. Each change has a revision, a
 * number that increases by one; it becomes the version of the storedKey key. Keys written with a lease are deleted when
 * the lease ends. Callers pass the current time. Not thread-safe.
 */
public final class KeyValueModel {

    private static final int MAX_HISTORY_ENTRIES = 10_000;

    private static final long ANY_VERSION = -1;

    private final TreeMap<String, StoredKey> keys = new TreeMap<>();

    private final Map<String, String> leaseByKey = new HashMap<>();

    private final Map<String, Lease> leases = new LinkedHashMap<>();

    private final Deque<StoredKey> history = new ArrayDeque<>();

    private long revision = 1;

    private long lastDiscardedRevision = 1;

    private long lastLeaseNumber;

    private long reads;

    private long writes;

    private long bytesWritten;

    /**
     * Reads a key.
     *
     * @param key the key
     * @return the key, or empty if it does not exist
     */
    public Optional<StoredKey> get(String key) {
        reads++;
        return Optional.ofNullable(keys.get(key));
    }

    /**
     * Reads all keys that begin with a prefix.
     *
     * @param prefix the prefix
     * @return the keys, sorted by name
     */
    public StoredKeys list(String prefix) {
        reads++;
        return listKeys(prefix);
    }

    /** Counts a watch as one read, because its repeated calls of {@link #changes} are not counted. */
    public void countWatchAsRead() {
        reads++;
    }

    /**
     * Returns the latest change of each key that begins with a prefix and storedKey after a revision.
     *
     * @param prefix the prefix
     * @param afterRevision the last revision that the caller knows
     * @return the changes; all keys if some of the changes were discarded; empty if there is no change
     */
    public Optional<StoredKeys> changes(String prefix, long afterRevision) {
        if (afterRevision < lastDiscardedRevision) {
            return Optional.of(listKeys(prefix));
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
     * Returns the revision of the latest change.
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
     * @param lease the lease that the key is bound to, or null
     * @return the result
     */
    public WriteResult put(String key, String value, long expectedVersion, String lease) {
        writes++;
        if (lease != null && !leases.containsKey(lease)) {
            return new WriteResult(WriteStatus.LEASE_ENDED, 0);
        }
        long currentVersion = currentVersion(key);
        if (expectedVersion != ANY_VERSION && expectedVersion != currentVersion) {
            return new WriteResult(WriteStatus.CONFLICT, currentVersion);
        }
        bytesWritten += value.length();
        leaseByKey.remove(key);
        if (lease != null) {
            leaseByKey.put(key, lease);
        }
        return new WriteResult(WriteStatus.WRITTEN, applyChange(key, value));
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
        long currentVersion = currentVersion(key);
        if (expectedVersion != ANY_VERSION && expectedVersion != currentVersion) {
            return new WriteResult(WriteStatus.CONFLICT, currentVersion);
        }
        if (currentVersion != 0) {
            leaseByKey.remove(key);
            applyChange(key, null);
        }
        return new WriteResult(WriteStatus.WRITTEN, 0);
    }

    /**
     * Grants a lease.
     *
     * @param now the current time
     * @param timeToLive how long the lease lasts after it is granted or renewed
     * @return the id of the lease
     */
    public String grant(Instant now, Duration timeToLive) {
        writes++;
        lastLeaseNumber++;
        String lease = "lease-" + lastLeaseNumber;
        leases.put(lease, new Lease(timeToLive, now.plus(timeToLive)));
        return lease;
    }

    /**
     * Renews a lease for its time to live.
     *
     * @param now the current time
     * @param lease the lease
     * @return whether the lease was renewed; false if it has ended
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
     * Ends a lease and deletes its keys.
     *
     * @param lease the lease
     */
    public void revoke(String lease) {
        writes++;
        endLease(lease);
    }

    /**
     * Ends the leases that have expired and deletes their keys.
     *
     * @param now the current time
     * @return whether a lease has ended
     */
    public boolean expire(Instant now) {
        List<String> ended = leases.entrySet().stream()
                .filter(entry -> !now.isBefore(entry.getValue().end()))
                .map(Map.Entry::getKey)
                .toList();
        ended.forEach(this::endLease);
        return !ended.isEmpty();
    }

    /**
     * Returns the numbers of calls received so far.
     *
     * @return the counts
     */
    public CallCounts counts() {
        return new CallCounts(reads, writes, bytesWritten);
    }

    private StoredKeys listKeys(String prefix) {
        List<StoredKey> matching = new ArrayList<>();
        for (StoredKey key : keys.tailMap(prefix).values()) {
            if (!key.key().startsWith(prefix)) {
                break;
            }
            matching.add(key);
        }
        return new StoredKeys(matching, revision, true);
    }

    private long currentVersion(String key) {
        StoredKey known = keys.get(key);
        return known == null ? 0 : known.version();
    }

    private long applyChange(String key, String value) {
        revision++;
        StoredKey storedKey = new StoredKey(key, value, revision);
        if (value == null) {
            keys.remove(key);
        } else {
            keys.put(key, storedKey);
        }
        history.add(storedKey);
        if (history.size() > MAX_HISTORY_ENTRIES) {
            lastDiscardedRevision = history.poll().version();
        }
        return revision;
    }

    private void endLease(String lease) {
        leases.remove(lease);
        List<String> leasedKeys = leaseByKey.entrySet().stream()
                .filter(entry -> entry.getValue().equals(lease))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        for (String key : leasedKeys) {
            leaseByKey.remove(key);
            applyChange(key, null);
        }
    }

    private record Lease(Duration timeToLive, Instant end) {}
}
