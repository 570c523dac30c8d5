package org.flamingopitch.scheduler.cell;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import java.util.function.Predicate;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;

/**
 * An in-memory key-value store with conditional transactions and watches. Leases end when they are revoked or ended by
 * the test, and by the clock if the test asks for it.
 */
public final class FakeStore {

    /** The number of conditions, writes and deletions that a transaction may have. */
    private static final int MAX_ENTRIES = 32;

    private final TreeMap<String, KeyValueEntry> entries = new TreeMap<>();

    private final TreeMap<String, String> leaseByKey = new TreeMap<>();

    private final Map<String, Duration> leases = new LinkedHashMap<>();

    private final Map<String, Instant> leaseExpiries = new LinkedHashMap<>();

    /** All changes, oldest first. */
    private final List<KeyValueEntry> history = new ArrayList<>();

    private Instant now = Instant.EPOCH;

    private boolean leasesExpire;

    private long revision = 1;

    /** Watches of changes after an earlier revision than this fail. */
    private long historyStart;

    /** Calls that read keys with this prefix fail; null for none. */
    private String unreadablePrefix;

    private int maxValueBytes = 1 << 20;

    private Predicate<String> rejectedKeys = key -> false;

    private Predicate<String> refusedKeys = key -> false;

    private int maxPageEntries = Integer.MAX_VALUE;

    private IntPredicate failedPages = number -> false;

    private int pageReads;

    private int largestTransactionBytes;

    private final Map<String, Long> writtenBytes = new LinkedHashMap<>();

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
     * Sets the size of the largest value that the store accepts.
     *
     * @param limit the size in bytes
     */
    public void setMaxValueBytes(int limit) {
        maxValueBytes = limit;
    }

    /**
     * Sets how many entries a page of a list has, and which calls for a page fail.
     *
     * @param maxEntries the number of entries
     * @param failed tells by the number of the call, from 1, whether it fails
     */
    public void setPages(int maxEntries, IntPredicate failed) {
        maxPageEntries = maxEntries;
        failedPages = failed;
        pageReads = 0;
    }

    /**
     * Returns how many calls for a page there were since {@link #setPages}.
     *
     * @return the number of calls
     */
    public int pageReads() {
        return pageReads;
    }

    /**
     * Sets which keys the store does not accept in a transaction.
     *
     * @param keys the keys
     */
    public void setRejectedKeys(Predicate<String> keys) {
        rejectedKeys = keys;
    }

    /**
     * Sets which keys the store writes in no transaction for now, as one that has too many calls (status 429).
     *
     * @param keys the keys
     */
    public void setRefusedKeys(Predicate<String> keys) {
        refusedKeys = keys;
    }

    /**
     * Returns the size of all values in the largest transaction so far.
     *
     * @return the size in bytes
     */
    public int largestTransactionBytes() {
        return largestTransactionBytes;
    }

    /**
     * Returns the size of all values that were written to keys with a prefix so far.
     *
     * @param prefix the prefix
     * @return the size in bytes
     */
    public long writtenBytes(String prefix) {
        return writtenBytes.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(prefix))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    /**
     * Returns the keys with a prefix.
     *
     * @param prefix the prefix
     * @return the keys
     */
    public List<String> keys(String prefix) {
        return entriesWithPrefix(prefix).stream().map(KeyValueEntry::key).toList();
    }

    /**
     * Sets whether the answers of calls that change the store are lost. The calls are executed nevertheless.
     *
     * @param areLost whether answers are lost
     */
    public void setAnswersLost(boolean areLost) {
        answersLost = areLost;
    }

    /**
     * Sets whether a lease ends when its holder does not renew it in time.
     *
     * @param doExpire whether leases expire
     */
    public void setLeasesExpire(boolean doExpire) {
        leasesExpire = doExpire;
    }

    /**
     * Sets the clock and ends the leases that have expired.
     *
     * @param time the present time
     */
    public void advance(Instant time) {
        now = time;
        if (leasesExpire) {
            List.copyOf(leases.keySet()).stream()
                    .filter(lease -> !now.isBefore(leaseExpiries.get(lease)))
                    .forEach(this::endLease);
        }
    }

    /** Ends all leases and removes the keys under them, as if no holder had renewed its lease. */
    public void endLeases() {
        List.copyOf(leases.keySet()).forEach(this::endLease);
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
     * Writes a key, as the platform or an operator does.
     *
     * @param key the key
     * @param value its value
     */
    public void write(String key, String value) {
        transact(new KeyValueRequest.Transaction(
                List.of(), List.of(new KeyValueRequest.Write(key, value, null)), List.of()));
    }

    /**
     * Removes a key, as the platform or an operator does.
     *
     * @param key the key
     */
    public void remove(String key) {
        transact(new KeyValueRequest.Transaction(List.of(), List.of(), List.of(key)));
    }

    /** Forgets all former changes; a watch that asks for one of them fails. */
    public void dropHistory() {
        history.clear();
        historyStart = revision;
    }

    /**
     * Lets all lists and watches of a prefix fail.
     *
     * @param prefix the prefix, or null for none
     */
    public void setUnreadablePrefix(String prefix) {
        unreadablePrefix = prefix;
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
        return failure("no answer");
    }

    static KeyValueResult failure(String detail) {
        return new KeyValueResult.Failed(new Failure("store", "fake", detail));
    }

    private KeyValueResult execute(KeyValueRequest request) {
        if (request instanceof KeyValueRequest.Get get) {
            KeyValueEntry entry = entries.get(get.key());
            return entry == null ? new KeyValueResult.Missing() : new KeyValueResult.Found(entry);
        }
        if (request instanceof KeyValueRequest.ListPrefix list) {
            if (list.prefix().equals(unreadablePrefix)) {
                return noAnswer();
            }
            return new KeyValueResult.Listed(entriesWithPrefix(list.prefix()), revision, true);
        }
        if (request instanceof KeyValueRequest.ListPage page) {
            return listPage(page);
        }
        if (request instanceof KeyValueRequest.Watch watch) {
            if (watch.prefix().equals(unreadablePrefix) || watch.afterRevision() < historyStart) {
                return noAnswer();
            }
            return new KeyValueResult.Listed(changes(watch.prefix(), watch.afterRevision()), revision, false);
        }
        if (request instanceof KeyValueRequest.GrantLease grant) {
            revision++;
            leases.put("lease" + revision, grant.timeToLive());
            renew("lease" + revision);
            return new KeyValueResult.Leased("lease" + revision);
        }
        if (request instanceof KeyValueRequest.RenewLease renew) {
            if (!leases.containsKey(renew.leaseId())) {
                return new KeyValueResult.LeaseEnded();
            }
            renew(renew.leaseId());
            return new KeyValueResult.Leased(renew.leaseId());
        }
        if (request instanceof KeyValueRequest.RevokeLease revoke) {
            endLease(revoke.leaseId());
            return new KeyValueResult.Leased(revoke.leaseId());
        }
        return transact((KeyValueRequest.Transaction) request);
    }

    private KeyValueResult listPage(KeyValueRequest.ListPage request) {
        pageReads++;
        if (request.prefix().equals(unreadablePrefix) || failedPages.test(pageReads)) {
            return noAnswer();
        }
        List<KeyValueEntry> rest = entriesWithPrefix(request.prefix()).stream()
                .filter(entry -> entry.key().compareTo(request.after()) > 0)
                .toList();
        List<KeyValueEntry> page = rest.subList(0, Math.min(rest.size(), maxPageEntries));
        return new KeyValueResult.Listed(page, revision, page.size() == rest.size());
    }

    private boolean exceedsLimits(KeyValueRequest.Transaction transaction) {
        int entryCount = transaction.conditions().size()
                + transaction.writes().size()
                + transaction.deletions().size();
        int bytes = 0;
        int largest = 0;
        for (KeyValueRequest.Write write : transaction.writes()) {
            int size = write.value().getBytes(StandardCharsets.UTF_8).length;
            bytes += size;
            largest = Math.max(largest, size);
        }
        largestTransactionBytes = Math.max(largestTransactionBytes, bytes);
        boolean keyRejected = transaction.writes().stream().anyMatch(write -> rejectedKeys.test(write.key()));
        return entryCount > MAX_ENTRIES || largest > maxValueBytes || keyRejected;
    }

    private KeyValueResult transact(KeyValueRequest.Transaction transaction) {
        if (transaction.writes().stream().anyMatch(write -> refusedKeys.test(write.key()))) {
            return failure("status 429");
        }
        if (exceedsLimits(transaction)) {
            return new KeyValueResult.Rejected(new Failure("store", "fake", "status 400"));
        }
        for (KeyValueRequest.Write write : transaction.writes()) {
            if (write.leaseId() != null && !leases.containsKey(write.leaseId())) {
                return new KeyValueResult.LeaseEnded();
            }
        }
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
            KeyValueEntry entry = new KeyValueEntry(write.key(), write.value(), revision, write.leaseId());
            entries.put(write.key(), entry);
            history.add(entry);
            writtenBytes.merge(write.key(), (long) write.value().getBytes(StandardCharsets.UTF_8).length, Long::sum);
            leaseByKey.remove(write.key());
            if (write.leaseId() != null) {
                leaseByKey.put(write.key(), write.leaseId());
            }
        }
        transaction.deletions().forEach(this::delete);
        return new KeyValueResult.Written(revision);
    }

    private void renew(String lease) {
        leaseExpiries.put(lease, now.plus(leases.get(lease)));
    }

    private void endLease(String lease) {
        if (leases.remove(lease) == null) {
            return;
        }
        revision++;
        List.copyOf(leaseByKey.entrySet()).stream()
                .filter(keyAndLease -> keyAndLease.getValue().equals(lease))
                .forEach(keyAndLease -> delete(keyAndLease.getKey()));
    }

    private void delete(String key) {
        leaseByKey.remove(key);
        if (entries.remove(key) != null) {
            history.add(new KeyValueEntry(key, null, revision));
        }
    }

    private List<KeyValueEntry> changes(String prefix, long afterRevision) {
        return history.stream()
                .filter(entry -> entry.version() > afterRevision && entry.key().startsWith(prefix))
                .toList();
    }

    private List<KeyValueEntry> entriesWithPrefix(String prefix) {
        return entries.values().stream()
                .filter(entry -> entry.key().startsWith(prefix))
                .toList();
    }
}
