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

    /** Interval of writes of the learned statistics; a successor lacks at most the updates of one interval. */
    private static final Duration STATISTICS_WRITE_INTERVAL = Duration.ofSeconds(3);

    /** Minimum time between transactions without an urgent change, since calls to the store are charged. */
    private static final Duration BATCH_INTERVAL = Duration.ofMillis(120);

    /**
     * Interval of commits without changes while leases of former owners may last. They tell a successor how long those
     * may last; it waits longer by up to the age of the last commit.
     */
    private static final Duration MARKER_INTERVAL = Duration.ofSeconds(1);

    /** Delay before a failed transaction is sent again; the store rejects calls that come too often. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(60);

    private final CellContext context;

    private final Ownership ownership;

    private final Listener listener;

    private final Supplier<LearnedRecord> learnedStatistics;

    private final Map<JobId, JobChange> changes = new LinkedHashMap<>();

    /** The change of which only some records were in the last transaction; null if there is none. */
    private JobChange partlySent;

    private long ledgerVersion;

    private long sequence;

    private final StoreOutage outage = new StoreOutage();

    private CommitBatch inFlight;

    private Instant lastSentAt = Instant.MIN;

    private Instant statisticsWrittenAt;

    private boolean timerPending;

    private boolean closed;

    /** Whether the store does not accept the learned statistics, which this owner then writes no more. */
    private boolean statisticsRejected;

    private long transactionCount;

    /** Whether the store has confirmed a commit, so that a successor knows of this owner. */
    private boolean ownerRecorded;

    private Instant markerSentAt = Instant.MIN;

    CommitLog(
            CellContext context,
            Ownership ownership,
            long ledgerVersion,
            Supplier<LearnedRecord> learnedStatistics,
            Listener listener) {
        this.context = context;
        this.ownership = ownership;
        this.ledgerVersion = ledgerVersion;
        this.listener = listener;
        this.learnedStatistics = learnedStatistics;
        this.statisticsWrittenAt = context.now();
    }

    void close() {
        closed = true;
    }

    /**
     * Schedules a write of a job's definition and state, with the state that the job has when the transaction is sent.
     *
     * @param urgent whether to send as soon as no transaction is in flight, instead of batching changes
     * @param whenDurable runs when the change is committed, or null
     * @return the sequence number of the change
     */
    long write(Job job, boolean urgent, Runnable whenDurable) {
        JobChange change = change(job);
        change.addState(job);
        return add(change, urgent, whenDurable);
    }

    /**
     * Schedules a write of a task's record, and of its job's state if the job has ended.
     *
     * @param urgent whether to send as soon as no transaction is in flight, instead of batching changes
     * @param whenDurable runs when the change is committed, or null
     * @return the sequence number of the change
     */
    long write(Task task, boolean urgent, Runnable whenDurable) {
        JobChange change = change(task.job());
        change.addTask(task);
        return add(change, urgent, whenDurable);
    }

    /** Schedules the deletion of a job's records. */
    void delete(Job job) {
        JobChange change = change(job);
        change.delete();
        add(change, false, null);
    }

    private JobChange change(Job job) {
        return changes.computeIfAbsent(job.id(), id -> new JobChange(job, sequence + 1));
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
        for (JobChange change : changes.values()) {
            Job job = change.job();
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
        long firstPending = inFlight == null ? Long.MAX_VALUE : inFlight.firstSequence();
        if (partlySent != null) {
            firstPending = Math.min(firstPending, partlySent.firstSequence());
        }
        for (JobChange change : changes.values()) {
            firstPending = Math.min(firstPending, change.firstSequence());
        }
        return firstPending == Long.MAX_VALUE ? sequence : firstPending - 1;
    }

    /** Returns the sequence number of the last change. */
    long sequence() {
        return sequence;
    }

    /**
     * Returns whether the ledger has named this process as the last owner, which is required before it extends a lease:
     * a successor waits for the leases of the owner that the ledger names and of those before it only.
     */
    boolean ownerRecorded() {
        return ownerRecorded;
    }

    /** Returns whether no change waits and no transaction is in flight. */
    boolean idle() {
        return !changesPending() && inFlight == null;
    }

    /** Makes all waiting changes urgent and sends them, unless a transaction is in flight. */
    void flush() {
        changes.values().forEach(JobChange::markUrgent);
        sendIfDue();
    }

    private boolean changesPending() {
        return partlySent != null || !changes.isEmpty();
    }

    private long add(JobChange change, boolean urgent, Runnable whenDurable) {
        sequence++;
        if (urgent) {
            change.markUrgent();
        }
        if (whenDurable != null) {
            change.onDurable(whenDurable);
        }
        return sequence;
    }

    /** Sends the next transaction if none is in flight and a change is due; called after each event. */
    void sendIfDue() {
        if (closed || inFlight != null || !changesPending() && !markerDue()) {
            return;
        }
        Instant dueAt = lastSentAt.equals(Instant.MIN) ? context.now() : lastSentAt.plus(BATCH_INTERVAL);
        boolean urgent = !ownerRecorded
                || partlySent != null
                || changes.values().stream().anyMatch(JobChange::urgent);
        if (!urgent && context.now().isBefore(dueAt)) {
            scheduleSend(Duration.between(context.now(), dueAt));
            return;
        }
        lastSentAt = context.now();
        inFlight = nextBatch();
        send(inFlight);
    }

    private boolean markerDue() {
        return !ownerRecorded
                || ownership.formerLeasesMayLast(context.now())
                        && !context.now().isBefore(markerSentAt.plus(MARKER_INTERVAL));
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

    private CommitBatch nextBatch() {
        CommitBatch batch = new CommitBatch();
        TransactionBuilder transaction = new TransactionBuilder();
        JobChange first = partlySent;
        partlySent = null;
        if (first != null) {
            move(first, batch, transaction);
        }
        moveChanges(batch, transaction);
        batch.addRecords(transaction.records());
        addStatisticsIfDue(batch);
        return batch;
    }

    private void moveChanges(CommitBatch batch, TransactionBuilder transaction) {
        Iterator<JobChange> pending = changes.values().iterator();
        while (pending.hasNext() && partlySent == null) {
            JobChange change = pending.next();
            // A transaction must not have two records with the same key.
            if (batch.contains(change.job().id())) {
                continue;
            }
            if (move(change, batch, transaction) == JobChange.Moved.NONE) {
                return;
            }
            pending.remove();
        }
    }

    /** Moves records of a change to a batch; the rest of them is sent before other changes in the next one. */
    private JobChange.Moved move(JobChange change, CommitBatch batch, TransactionBuilder transaction) {
        boolean statePending = change.statePending();
        JobChange.Moved moved = change.moveTo(transaction);
        if (moved != JobChange.Moved.NONE) {
            batch.addChange(change, moved == JobChange.Moved.ALL, statePending && !change.statePending());
        }
        if (moved == JobChange.Moved.PART) {
            partlySent = change;
        }
        return moved;
    }

    private void addStatisticsIfDue(CommitBatch batch) {
        boolean due = !context.now().isBefore(statisticsWrittenAt.plus(STATISTICS_WRITE_INTERVAL));
        if (due && !statisticsRejected) {
            statisticsWrittenAt = context.now();
            String value = JsonCodec.compact().encode(learnedStatistics.get());
            batch.addRecords(List.of(new PendingRecord(null, CellKeys.LEARNED, value)));
        }
    }

    /** Sends the remaining records of a batch in a transaction, or one of them if the batch was rejected. */
    private void send(CommitBatch batch) {
        transactionCount++;
        markerSentAt = context.now();
        CommitMarker marker = ownership.marker(transactionCount, markerSentAt);
        batch.setCommitMarker(marker.encode());
        List<KeyValueRequest.Write> writes = new ArrayList<>();
        List<String> deletions = new ArrayList<>();
        for (PendingRecord record : batch.nextRecords()) {
            if (record.value() == null) {
                deletions.add(record.key());
            } else {
                writes.add(new KeyValueRequest.Write(record.key(), record.value(), null));
            }
        }
        writes.add(new KeyValueRequest.Write(CellKeys.LEDGER, batch.commitMarker(), null));
        ownership
                .formerOwners(marker, markerSentAt)
                .ifPresent(
                        record -> writes.add(new KeyValueRequest.Write(CellKeys.FORMER_OWNERS, record.encode(), null)));
        List<KeyValueRequest.Condition> conditions = List.of(
                new KeyValueRequest.Condition(CellKeys.OWNER, ownership.version()),
                new KeyValueRequest.Condition(CellKeys.LEDGER, ledgerVersion));
        outage.onSent(context.now());
        callStore(batch, new KeyValueRequest.Transaction(conditions, writes, deletions));
    }

    private void callStore(CommitBatch batch, KeyValueRequest request) {
        Instant sentAt = context.now();
        context.callStore(request, result -> applyResult(batch, request, result, sentAt));
    }

    private void applyResult(CommitBatch batch, KeyValueRequest request, KeyValueResult result, Instant sentAt) {
        if (closed) {
            return;
        }
        if (result instanceof KeyValueResult.Written written) {
            listener.onConfirmed(sentAt);
            applyCommit(batch, written.version());
            return;
        }
        if (result instanceof KeyValueResult.ConditionFailed conflict) {
            resolveConflict(batch, conflict.actual());
            return;
        }
        if (result instanceof KeyValueResult.Rejected rejected) {
            applyRejection(batch, rejected);
            return;
        }
        LOGGER.atWarning().log("event=commit_unanswered transaction=%s result=%s", batch.commitMarker(), result);
        context.schedule(RETRY_DELAY, () -> {
            if (!closed) {
                callStore(batch, request);
            }
        });
    }

    /** Sends the records of a rejected transaction one by one, and drops the one that is rejected alone. */
    private void applyRejection(CommitBatch batch, KeyValueResult.Rejected rejected) {
        outage.onAnswered(context.now());
        List<PendingRecord> records = batch.nextRecords();
        LOGGER.atSevere().log(
                "event=commit_rejected transaction=%s records=%d key=%s %s",
                batch.commitMarker(),
                records.size(),
                records.isEmpty() ? CellKeys.LEDGER : records.get(0).key(),
                rejected.failure());
        if (records.size() > 1) {
            batch.sendOneByOne();
        } else if (!records.isEmpty()) {
            dropRejected(batch, records.get(0).change());
        }
        if (batch.committed()) {
            finishBatch(batch);
        } else {
            send(batch);
        }
    }

    private void dropRejected(CommitBatch batch, JobChange rejected) {
        batch.drop(rejected);
        if (rejected == null) {
            statisticsRejected = true;
            return;
        }
        if (partlySent == rejected) {
            partlySent = null;
        }
        if (rejected.job().definitionStored()) {
            // The ends of runs in the rejected records are not acknowledged before the end of the job is stored.
            change(rejected.job()).supersede(rejected);
        } else {
            changes.remove(rejected.job().id());
        }
        listener.onRecordRejected(rejected.job());
    }

    /** Finishes the batch if an earlier copy of its transaction was committed; otherwise reports the ownership as lost. */
    private void resolveConflict(CommitBatch batch, List<KeyValueEntry> actual) {
        long actualOwnerVersion = 0;
        for (KeyValueEntry entry : actual) {
            if (entry.key().equals(CellKeys.OWNER)) {
                actualOwnerVersion = entry.version();
            }
            if (entry.key().equals(CellKeys.LEDGER) && batch.commitMarker().equals(entry.value())) {
                applyCommit(batch, entry.version());
                return;
            }
        }
        listener.onOwnershipLost("owner_version=" + actualOwnerVersion + " expected=" + ownership.version());
    }

    private void applyCommit(CommitBatch batch, long version) {
        ledgerVersion = version;
        ownerRecorded = true;
        outage.onAnswered(context.now());
        batch.markCommitted();
        if (batch.committed()) {
            finishBatch(batch);
        } else {
            send(batch);
        }
    }

    private void finishBatch(CommitBatch batch) {
        inFlight = null;
        batch.finish();
        listener.onCommitted();
        sendIfDue();
    }

    /** Is notified of the outcome of transactions. */
    interface Listener {

        /** The store confirmed the ownership by committing the transaction that was sent at the given time. */
        void onConfirmed(Instant sentAt);

        /** A transaction was committed; the changes in it are durable. */
        void onCommitted();

        /** The store does not accept a record of a job; its pending changes are dropped. */
        void onRecordRejected(Job job);

        /** A transaction was rejected because another process owns the cell or has changed the ledger. */
        void onOwnershipLost(String detail);
    }
}
