package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.outage.StoreOutage;
import org.flamingopitch.scheduler.cell.port.CellContext;

/**
 * Commits the records of jobs to the store, batched, with one transaction in flight at a time. Each transaction
 * requires that the owner's key still has the version that this owner wrote and that the ledger entry has not changed
 * since the previous transaction; it replaces the ledger entry by its own commit marker. So neither a former owner nor
 * a late copy of a transaction whose answer was lost can change the records.
 */
final class CommitLog {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The store accepts 32 entries per transaction; two conditions, the ledger and the learned statistics take four. */
    private static final int MAX_RECORDS_PER_TRANSACTION = 28;

    /** Interval of writes of the learned statistics; a successor lacks at most the updates of one interval. */
    private static final Duration STATISTICS_WRITE_INTERVAL = Duration.ofSeconds(3);

    /** Minimum time between transactions without an urgent change, since calls to the store are charged. */
    private static final Duration BATCH_INTERVAL = Duration.ofMillis(120);

    /** Delay before a failed transaction is sent again; the store rejects calls that come too often. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(60);

    private final CellContext context;

    private final long ownerVersion;

    private final Listener listener;

    private final Supplier<LearnedRecord> learnedStatistics;

    private final Map<JobId, Change> changes = new LinkedHashMap<>();

    private long ledgerVersion;

    private long sequence;

    private final StoreOutage outage = new StoreOutage();

    private Batch inFlight;

    private Instant lastSentAt = Instant.MIN;

    private Instant statisticsWrittenAt;

    private boolean timerPending;

    private boolean closed;

    private long transactionCount;

    CommitLog(
            CellContext context,
            long ownerVersion,
            long ledgerVersion,
            Supplier<LearnedRecord> learnedStatistics,
            Listener listener) {
        this.context = context;
        this.ownerVersion = ownerVersion;
        this.ledgerVersion = ledgerVersion;
        this.listener = listener;
        this.learnedStatistics = learnedStatistics;
        this.statisticsWrittenAt = context.now();
    }

    void close() {
        closed = true;
    }

    /**
     * Schedules a write of a job's records, with the state that the job has when the transaction is sent.
     *
     * @param urgent whether to send as soon as no transaction is in flight, instead of batching changes
     * @param whenDurable runs when the transaction is committed, or null
     * @return the sequence number of the change
     */
    long write(Job job, boolean urgent, Runnable whenDurable) {
        Change change = changes.computeIfAbsent(job.id(), id -> new Change(job, sequence + 1));
        change.deletion = false;
        return add(change, urgent, whenDurable);
    }

    /** Schedules the deletion of a job's records. */
    void delete(Job job) {
        Change change = changes.computeIfAbsent(job.id(), id -> new Change(job, sequence + 1));
        change.deletion = true;
        add(change, false, null);
    }

    /** Returns whether and how long the store has been away. */
    StoreOutage outage() {
        return outage;
    }

    /**
     * Removes the changes of open jobs that were in no transaction, so that it is certain that they are not stored and
     * never will be.
     *
     * @return the jobs
     */
    List<Job> withdrawUnsentJobs() {
        List<Job> withdrawn = new ArrayList<>();
        for (Change change : changes.values()) {
            Job job = change.job;
            boolean sent = job.definitionStored() || inFlight != null && inFlight.contains(job);
            if (!sent && job.open() && !job.started()) {
                withdrawn.add(job);
            }
        }
        withdrawn.forEach(job -> changes.remove(job.id()));
        return withdrawn;
    }

    /** Returns the highest sequence number up to which all changes are durable. */
    long durableSequence() {
        long firstPending = inFlight == null ? Long.MAX_VALUE : inFlight.firstSequence;
        for (Change change : changes.values()) {
            firstPending = Math.min(firstPending, change.firstSequence);
        }
        return firstPending == Long.MAX_VALUE ? sequence : firstPending - 1;
    }

    /** Returns the sequence number of the last change. */
    long sequence() {
        return sequence;
    }

    /** Returns whether no change waits and no transaction is in flight. */
    boolean idle() {
        return changes.isEmpty() && inFlight == null;
    }

    /** Makes all waiting changes urgent and sends them, unless a transaction is in flight. */
    void flush() {
        changes.values().forEach(change -> change.urgent = true);
        sendIfDue();
    }

    private long add(Change change, boolean urgent, Runnable whenDurable) {
        sequence++;
        change.urgent |= urgent;
        if (whenDurable != null) {
            change.whenDurable.add(whenDurable);
        }
        return sequence;
    }

    /** Sends the next transaction if none is in flight and a change is due; called after each event. */
    void sendIfDue() {
        if (closed || inFlight != null || changes.isEmpty()) {
            return;
        }
        Instant dueAt = lastSentAt.equals(Instant.MIN) ? context.now() : lastSentAt.plus(BATCH_INTERVAL);
        boolean urgent = changes.values().stream().anyMatch(change -> change.urgent);
        if (!urgent && context.now().isBefore(dueAt)) {
            scheduleSend(Duration.between(context.now(), dueAt));
            return;
        }
        inFlight = nextBatch();
        lastSentAt = context.now();
        outage.onSent(lastSentAt);
        send(inFlight);
    }

    private void scheduleSend(Duration delay) {
        if (!timerPending) {
            timerPending = true;
            context.schedule(delay, () -> {
                timerPending = false;
                sendIfDue();
            });
        }
    }

    private Batch nextBatch() {
        transactionCount++;
        List<KeyValueRequest.Write> writes = new ArrayList<>();
        List<String> deletions = new ArrayList<>();
        List<Change> batched = new ArrayList<>();
        long firstSequence = Long.MAX_VALUE;
        Iterator<Change> pending = changes.values().iterator();
        while (pending.hasNext() && writes.size() + deletions.size() + 2 <= MAX_RECORDS_PER_TRANSACTION) {
            Change change = pending.next();
            change.addEntries(writes, deletions);
            batched.add(change);
            firstSequence = Math.min(firstSequence, change.firstSequence);
            pending.remove();
        }
        addStatisticsIfDue(writes);
        String commitMarker = ownerVersion + "." + transactionCount;
        writes.add(new KeyValueRequest.Write(CellKeys.LEDGER, commitMarker, null));
        List<KeyValueRequest.Condition> conditions = List.of(
                new KeyValueRequest.Condition(CellKeys.OWNER, ownerVersion),
                new KeyValueRequest.Condition(CellKeys.LEDGER, ledgerVersion));
        KeyValueRequest request = new KeyValueRequest.Transaction(conditions, writes, deletions);
        return new Batch(request, commitMarker, batched, firstSequence);
    }

    private void addStatisticsIfDue(List<KeyValueRequest.Write> writes) {
        if (!context.now().isBefore(statisticsWrittenAt.plus(STATISTICS_WRITE_INTERVAL))) {
            statisticsWrittenAt = context.now();
            String value = JsonCodec.compact().encode(learnedStatistics.get());
            writes.add(new KeyValueRequest.Write(CellKeys.LEARNED, value, null));
        }
    }

    private void send(Batch batch) {
        Instant sentAt = context.now();
        context.callStore(batch.request, result -> applyResult(batch, result, sentAt));
    }

    private void applyResult(Batch batch, KeyValueResult result, Instant sentAt) {
        if (closed) {
            return;
        }
        if (result instanceof KeyValueResult.Written written) {
            listener.onConfirmed(sentAt);
            finishBatch(batch, written.version());
            return;
        }
        if (result instanceof KeyValueResult.ConditionFailed conflict) {
            resolveConflict(batch, conflict.actual());
            return;
        }
        LOGGER.atWarning().log("event=commit_unanswered transaction=%s result=%s", batch.commitMarker, result);
        context.schedule(RETRY_DELAY, () -> {
            if (!closed) {
                send(batch);
            }
        });
    }

    /** Finishes the batch if an earlier copy of its transaction was committed; otherwise reports the ownership as lost. */
    private void resolveConflict(Batch batch, List<KeyValueEntry> actual) {
        long actualOwnerVersion = 0;
        for (KeyValueEntry entry : actual) {
            if (entry.key().equals(CellKeys.OWNER)) {
                actualOwnerVersion = entry.version();
            }
            if (entry.key().equals(CellKeys.LEDGER) && batch.commitMarker.equals(entry.value())) {
                finishBatch(batch, entry.version());
                return;
            }
        }
        listener.onOwnershipLost("owner_version=" + actualOwnerVersion + " expected=" + ownerVersion);
    }

    private void finishBatch(Batch batch, long version) {
        ledgerVersion = version;
        outage.onAnswered(context.now());
        inFlight = null;
        for (Change change : batch.changes) {
            change.job.markDefinitionStored();
            if (change.endStateWritten) {
                change.job.markEndStateDurable();
            }
        }
        for (Change change : batch.changes) {
            change.whenDurable.forEach(Runnable::run);
        }
        listener.onCommitted();
        sendIfDue();
    }

    /** Is notified of the outcome of transactions. */
    interface Listener {

        /** The store confirmed the ownership by committing the transaction that was sent at the given time. */
        void onConfirmed(Instant sentAt);

        /** A transaction was committed; the changes in it are durable. */
        void onCommitted();

        /** A transaction was rejected because another process owns the cell or has changed the ledger. */
        void onOwnershipLost(String detail);
    }

    private static final class Change {

        private final Job job;

        private final long firstSequence;

        private final List<Runnable> whenDurable = new ArrayList<>();

        private boolean urgent;

        private boolean deletion;

        private boolean endStateWritten;

        private Change(Job job, long firstSequence) {
            this.job = job;
            this.firstSequence = firstSequence;
        }

        private void addEntries(List<KeyValueRequest.Write> writes, List<String> deletions) {
            if (deletion) {
                deletions.add(CellKeys.job(job.id()));
                deletions.add(CellKeys.progress(job.id()));
                return;
            }
            JsonCodec codec = JsonCodec.compact();
            if (!job.definitionStored()) {
                JobRecord record = new JobRecord(job.queue(), job.submittedMillis(), job.spec());
                writes.add(new KeyValueRequest.Write(CellKeys.job(job.id()), codec.encode(record), null));
            }
            ProgressRecord progress = ProgressRecord.of(job);
            boolean progressEmpty = progress.end() == null && progress.tasks().isEmpty();
            if (!progressEmpty || job.definitionStored()) {
                writes.add(new KeyValueRequest.Write(CellKeys.progress(job.id()), codec.encode(progress), null));
            }
            endStateWritten = !job.open();
        }
    }

    private record Batch(KeyValueRequest request, String commitMarker, List<Change> changes, long firstSequence) {

        boolean contains(Job job) {
            return changes.stream().anyMatch(change -> change.job == job);
        }
    }
}
