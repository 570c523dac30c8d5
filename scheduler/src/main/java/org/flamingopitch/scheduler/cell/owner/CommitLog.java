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
import org.flamingopitch.scheduler.cell.port.CellContext;

/**
 * Writes the records of jobs, many in one transaction and one transaction at a time. Each transaction requires the key
 * that its owner won and replaces the ledger's entry, so that a former owner, or an earlier copy of a transaction whose
 * answer was lost, changes nothing.
 */
final class CommitLog {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Room in a transaction beside two conditions, the ledger and what was learned; the store takes 32 entries. */
    private static final int MAX_CHANGES = 28;

    /** How much of what was learned a successor may miss. */
    private static final Duration LEARNED_INTERVAL = Duration.ofSeconds(3);

    /** How long changes that nobody waits for are collected; each call to the store is charged. */
    private static final Duration COLLECT_TIME = Duration.ofMillis(120);

    /** The pause after a refusal; the store refuses when it is called too often. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(60);

    private final CellContext context;

    private final long ownerVersion;

    private final Listener listener;

    private final Supplier<LearnedRecord> learned;

    private final Map<JobId, Change> changes = new LinkedHashMap<>();

    private long ledgerVersion;

    private long sequence;

    private Batch inFlight;

    private Instant lastSentAt = Instant.MIN;

    private Instant learnedWrittenAt;

    private boolean timerSet;

    private boolean closed;

    private long transactions;

    CommitLog(
            CellContext context,
            long ownerVersion,
            long ledgerVersion,
            Supplier<LearnedRecord> learned,
            Listener listener) {
        this.context = context;
        this.ownerVersion = ownerVersion;
        this.ledgerVersion = ledgerVersion;
        this.listener = listener;
        this.learned = learned;
        this.learnedWrittenAt = context.now();
    }

    void close() {
        closed = true;
    }

    /** Records a job as it is when the transaction is sent. */
    long write(Job job, boolean urgent, Runnable whenDurable) {
        Change change = changes.computeIfAbsent(job.id(), id -> new Change(job, sequence + 1));
        change.deletion = false;
        return add(change, urgent, whenDurable);
    }

    /** Forgets a job. */
    void delete(Job job) {
        Change change = changes.computeIfAbsent(job.id(), id -> new Change(job, sequence + 1));
        change.deletion = true;
        add(change, false, null);
    }

    /** Returns the number such that all changes up to it are durable. */
    long durableSequence() {
        long oldest = inFlight == null ? Long.MAX_VALUE : inFlight.firstSequence;
        for (Change change : changes.values()) {
            oldest = Math.min(oldest, change.firstSequence);
        }
        return oldest == Long.MAX_VALUE ? sequence : oldest - 1;
    }

    long sequence() {
        return sequence;
    }

    boolean idle() {
        return changes.isEmpty() && inFlight == null;
    }

    /** Sends at once what waits. */
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

    /** Sends the next transaction if none is on its way and something is due; called after each event. */
    void sendIfDue() {
        if (closed || inFlight != null || changes.isEmpty()) {
            return;
        }
        Instant due = lastSentAt.equals(Instant.MIN) ? context.now() : lastSentAt.plus(COLLECT_TIME);
        boolean urgent = changes.values().stream().anyMatch(change -> change.urgent);
        if (!urgent && context.now().isBefore(due)) {
            setTimer(Duration.between(context.now(), due));
            return;
        }
        inFlight = nextBatch();
        lastSentAt = context.now();
        send(inFlight);
    }

    private void setTimer(Duration delay) {
        if (!timerSet) {
            timerSet = true;
            context.schedule(delay, () -> {
                timerSet = false;
                sendIfDue();
            });
        }
    }

    private Batch nextBatch() {
        transactions++;
        List<KeyValueRequest.Write> writes = new ArrayList<>();
        List<String> deletions = new ArrayList<>();
        List<Change> taken = new ArrayList<>();
        long firstSequence = Long.MAX_VALUE;
        Iterator<Change> waiting = changes.values().iterator();
        while (waiting.hasNext() && writes.size() + deletions.size() + 2 <= MAX_CHANGES) {
            Change change = waiting.next();
            change.addTo(writes, deletions);
            taken.add(change);
            firstSequence = Math.min(firstSequence, change.firstSequence);
            waiting.remove();
        }
        addLearnedIfDue(writes);
        String mark = ownerVersion + "." + transactions;
        writes.add(new KeyValueRequest.Write(CellKeys.LEDGER, mark, null));
        List<KeyValueRequest.Condition> conditions = List.of(
                new KeyValueRequest.Condition(CellKeys.OWNER, ownerVersion),
                new KeyValueRequest.Condition(CellKeys.LEDGER, ledgerVersion));
        KeyValueRequest request = new KeyValueRequest.Transaction(conditions, writes, deletions);
        return new Batch(request, mark, taken, firstSequence);
    }

    private void addLearnedIfDue(List<KeyValueRequest.Write> writes) {
        if (!context.now().isBefore(learnedWrittenAt.plus(LEARNED_INTERVAL))) {
            learnedWrittenAt = context.now();
            String text = JsonCodec.compact().encode(learned.get());
            writes.add(new KeyValueRequest.Write(CellKeys.LEARNED, text, null));
        }
    }

    private void send(Batch batch) {
        Instant sentAt = context.now();
        context.keyValue(batch.request, result -> answered(batch, result, sentAt));
    }

    private void answered(Batch batch, KeyValueResult result, Instant sentAt) {
        if (closed) {
            return;
        }
        if (result instanceof KeyValueResult.Written written) {
            listener.confirmed(sentAt);
            committed(batch, written.version());
            return;
        }
        if (result instanceof KeyValueResult.ConditionFailed conflict) {
            settle(batch, conflict.actual());
            return;
        }
        LOGGER.atWarning().log("event=commit_unanswered transaction=%s result=%s", batch.mark, result);
        context.schedule(RETRY_DELAY, () -> {
            if (!closed) {
                send(batch);
            }
        });
    }

    private void settle(Batch batch, List<KeyValueEntry> actual) {
        long owner = 0;
        for (KeyValueEntry entry : actual) {
            if (entry.key().equals(CellKeys.OWNER)) {
                owner = entry.version();
            }
            if (entry.key().equals(CellKeys.LEDGER) && batch.mark.equals(entry.value())) {
                committed(batch, entry.version());
                return;
            }
        }
        listener.lost("owner_version=" + owner + " expected=" + ownerVersion);
    }

    private void committed(Batch batch, long version) {
        ledgerVersion = version;
        inFlight = null;
        for (Change change : batch.changes) {
            change.job.markDefinitionStored();
            if (change.terminalWritten) {
                change.job.markTerminalDurable();
            }
        }
        for (Change change : batch.changes) {
            change.whenDurable.forEach(Runnable::run);
        }
        listener.committed();
        sendIfDue();
    }

    /** Learns what becomes of transactions. */
    interface Listener {

        /** The store answered the owner. */
        void confirmed(Instant sentAt);

        /** A transaction is durable. */
        void committed();

        /** Another process owns the cell. */
        void lost(String detail);
    }

    private static final class Change {

        private final Job job;

        private final long firstSequence;

        private final List<Runnable> whenDurable = new ArrayList<>();

        private boolean urgent;

        private boolean deletion;

        private boolean terminalWritten;

        private Change(Job job, long firstSequence) {
            this.job = job;
            this.firstSequence = firstSequence;
        }

        private void addTo(List<KeyValueRequest.Write> writes, List<String> deletions) {
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
            boolean blank = progress.end() == null && progress.tasks().isEmpty();
            if (!blank || job.definitionStored()) {
                writes.add(new KeyValueRequest.Write(CellKeys.progress(job.id()), codec.encode(progress), null));
            }
            terminalWritten = !job.open();
        }
    }

    private record Batch(KeyValueRequest request, String mark, List<Change> changes, long firstSequence) {}
}
