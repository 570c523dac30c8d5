package org.flamingopitch.coordination.journal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;

/**
 * The journal of one partition. Records are appended in groups, one write at a time, each under a new key that must not
 * exist yet. A successor writes a segment and the head of its own before it acts, so that neither a record nor a
 * snapshot of the former owner that is still under way can take effect. An owner that finds a later epoch stops.
 *
 * @param <R> the type of the records
 */
public final class Journal<R> {

    private static final String SEGMENT_PART = "segment/";

    private final LoopContext context;

    private final String prefix;

    private final SegmentWriter writer;

    private final JournalSettings settings;

    private final JournalState<R> state;

    private final SegmentCodec<R> codec;

    private final JournalSnapshots<R> snapshots;

    private final Deque<PendingRecord> pending = new ArrayDeque<>();

    private List<PendingRecord> inFlight = List.of();

    private Instant inFlightSince = Instant.MAX;

    private Instant lastWrite = Instant.EPOCH;

    private Instant verifiedAt = Instant.EPOCH;

    private long nextSegment = 1;

    private long replayedEpoch;

    private long writes;

    private long durableRecords;

    private long writtenChars;

    private boolean ready;

    private boolean closed;

    private boolean commitScheduled;

    private boolean failing;

    /**
     * Creates a journal; it accepts records once it has recovered.
     *
     * @param context the loop
     * @param prefix the prefix of the journal's keys
     * @param owner names this owner
     * @param epoch the epoch of its ownership
     * @param settings the bounds
     * @param codec encodes the records
     * @param recordType the sealed type of the records
     * @param state the state that the journal keeps
     */
    public Journal(
            LoopContext context,
            String prefix,
            String owner,
            long epoch,
            JournalSettings settings,
            JsonCodec codec,
            Class<R> recordType,
            JournalState<R> state) {
        this.context = context;
        this.prefix = prefix;
        this.writer = new SegmentWriter(epoch, owner);
        this.settings = settings;
        this.state = state;
        this.codec = new SegmentCodec<>(codec, recordType);
        this.snapshots = new JournalSnapshots<>(context, prefix, writer, settings, state, this.codec);
    }

    /**
     * Reads the journal back and fences former owners.
     *
     * @param whenReady runs once records can be appended
     */
    public void recover(Runnable whenReady) {
        Instant sentAt = context.now();
        context.keyValue(new KeyValueRequest.ListPrefix(prefix), result -> {
            verifiedAt = sentAt;
            applyRecovered(result, whenReady);
        });
    }

    /**
     * Appends a record.
     *
     * @param record the record
     * @param whenDurable runs once the record is durable; never, if this owner is fenced first
     */
    public void append(R record, Runnable whenDurable) {
        pending.add(new PendingRecord(codec.encodeRecord(record), whenDurable));
        scheduleCommit();
    }

    /** Writes nothing more. */
    public void close() {
        closed = true;
        snapshots.close();
    }

    /**
     * Tells whether recovery has ended.
     *
     * @return whether records can become durable
     */
    public boolean ready() {
        return ready;
    }

    /**
     * Tells whether records become durable quickly.
     *
     * @return whether the last write was answered and none has waited for too long
     */
    public boolean healthy() {
        boolean slow = inFlightSince.isBefore(context.now().minus(settings.slowAfter()));
        return ready && !failing && !slow;
    }

    /**
     * Tells whether everything that was appended is durable.
     *
     * @return whether nothing is pending
     */
    public boolean settled() {
        return pending.isEmpty() && inFlight.isEmpty();
    }

    /**
     * Returns what was written.
     *
     * @return the figures
     */
    public JournalFigures figures() {
        return new JournalFigures(durableRecords, writes, writtenChars);
    }

    private void applyRecovered(KeyValueResult result, Runnable whenReady) {
        if (closed) {
            return;
        }
        if (!(result instanceof KeyValueResult.Listed listed)) {
            context.schedule(settings.retryDelay(), () -> recover(whenReady));
            return;
        }
        List<KeyValueEntry> segments = readSegments(listed);
        if (laterOwner(segments)) {
            fence();
            return;
        }
        context.keyValue(
                new KeyValueRequest.Put(
                        segmentKey(prefix, nextSegment),
                        codec.encode(writer.fence(), List.of()),
                        KeyValueRequest.ABSENT,
                        null),
                written -> applyFenced(written, listed, segments, whenReady));
    }

    private boolean laterOwner(List<KeyValueEntry> segments) {
        long latest = segments.stream()
                .mapToLong(segment -> SegmentWriter.epoch(codec.writeId(segment.value())))
                .max()
                .orElse(0);
        return Math.max(latest, snapshots.epoch()) > writer.epoch();
    }

    private List<KeyValueEntry> readSegments(KeyValueResult.Listed listed) {
        snapshots.readHead(listed);
        List<KeyValueEntry> segments = new ArrayList<>(listed.entries());
        segments.removeIf(entry -> !entry.key().startsWith(prefix + SEGMENT_PART));
        segments.sort(Comparator.comparing(KeyValueEntry::key));
        nextSegment = Math.max(snapshots.upToSegment(), lastSegment(segments)) + 1;
        return segments;
    }

    private long lastSegment(List<KeyValueEntry> segments) {
        return segments.isEmpty()
                ? 0
                : segmentNumber(segments.get(segments.size() - 1).key());
    }

    private void applyFenced(
            KeyValueResult written, KeyValueResult.Listed listed, List<KeyValueEntry> segments, Runnable whenReady) {
        if (closed) {
            return;
        }
        if (!(written instanceof KeyValueResult.Written)) {
            context.schedule(settings.retryDelay(), () -> recover(whenReady));
            return;
        }
        nextSegment++;
        snapshots.claim(claimed -> applyClaimed(claimed, listed, segments, whenReady));
    }

    private void applyClaimed(
            boolean claimed, KeyValueResult.Listed listed, List<KeyValueEntry> segments, Runnable whenReady) {
        if (closed) {
            return;
        }
        if (!claimed) {
            context.schedule(settings.retryDelay(), () -> recover(whenReady));
            return;
        }
        snapshots.replay(listed, segments.size());
        segments.forEach(this::replaySegment);
        ready = true;
        whenReady.run();
        scheduleCommit();
    }

    private void replaySegment(KeyValueEntry segment) {
        if (segmentNumber(segment.key()) <= snapshots.upToSegment()) {
            snapshots.replace(segment.key());
            return;
        }
        long epoch = SegmentWriter.epoch(codec.writeId(segment.value()));
        if (epoch > replayedEpoch) {
            state.ownerChanged();
            replayedEpoch = epoch;
        }
        codec.records(segment.value()).forEach(state::replay);
    }

    private void scheduleCommit() {
        if (commitScheduled || !ready || closed || !inFlight.isEmpty() || pending.isEmpty()) {
            return;
        }
        commitScheduled = true;
        Duration wait = Duration.between(context.now(), lastWrite.plus(settings.commitInterval()));
        context.schedule(wait.isNegative() ? Duration.ZERO : wait, this::commit);
    }

    private void commit() {
        commitScheduled = false;
        if (closed || !inFlight.isEmpty()) {
            return;
        }
        inFlight = takeBatch();
        inFlightSince = context.now();
        writes++;
        String writeId = writer.write(writes);
        List<String> lines = inFlight.stream().map(PendingRecord::line).toList();
        write(writeId, codec.encode(writeId, lines));
    }

    private List<PendingRecord> takeBatch() {
        List<PendingRecord> batch = new ArrayList<>();
        int chars = 0;
        while (!pending.isEmpty() && (batch.isEmpty() || chars < settings.maxSegmentChars())) {
            PendingRecord next = pending.poll();
            chars += next.line().length() + 1;
            batch.add(next);
        }
        return batch;
    }

    private void write(String writeId, String segment) {
        if (closed) {
            return;
        }
        lastWrite = context.now();
        if (context.now().isAfter(verifiedAt.plus(settings.verifyAfter()))) {
            verify(writeId, segment);
            return;
        }
        Instant sentAt = context.now();
        context.keyValue(
                new KeyValueRequest.Put(segmentKey(prefix, nextSegment), segment, KeyValueRequest.ABSENT, null),
                result -> applyWritten(result, writeId, segment, sentAt));
    }

    /** Checks that the next segment was not written, replaced by a snapshot and deleted while this owner was silent. */
    private void verify(String writeId, String segment) {
        Instant sentAt = context.now();
        snapshots.refreshHead(answered -> {
            if (!answered) {
                retryWrite(writeId, segment);
            } else if (snapshots.upToSegment() >= nextSegment) {
                fence();
            } else {
                verifiedAt = sentAt;
                write(writeId, segment);
            }
        });
    }

    private void fence() {
        close();
        state.fenced();
    }

    private void applyWritten(KeyValueResult result, String writeId, String segment, Instant sentAt) {
        if (closed) {
            return;
        }
        if (result instanceof KeyValueResult.Written) {
            verifiedAt = sentAt;
            applyDurable(segment);
            return;
        }
        if (result instanceof KeyValueResult.Conflict) {
            String segmentKey = segmentKey(prefix, nextSegment);
            context.keyValue(new KeyValueRequest.Get(segmentKey), read -> applyConflicting(read, writeId, segment));
            return;
        }
        retryWrite(writeId, segment);
    }

    private void applyConflicting(KeyValueResult read, String writeId, String segment) {
        if (closed) {
            return;
        }
        if (!read.answered()) {
            retryWrite(writeId, segment);
            return;
        }
        String found = read instanceof KeyValueResult.Found key
                ? codec.writeId(key.entry().value())
                : "";
        if (found.equals(writeId)) {
            applyDurable(segment);
        } else {
            fence();
        }
    }

    private void retryWrite(String writeId, String segment) {
        failing = true;
        context.schedule(settings.retryDelay(), () -> write(writeId, segment));
    }

    private void applyDurable(String segment) {
        failing = false;
        inFlightSince = Instant.MAX;
        nextSegment++;
        writtenChars += segment.length();
        List<PendingRecord> durable = inFlight;
        inFlight = List.of();
        durableRecords += durable.size();
        durable.forEach(record -> record.whenDurable().run());
        snapshots.segmentWritten(nextSegment - 1);
        scheduleCommit();
    }

    static String segmentKey(String prefix, long number) {
        return prefix + SEGMENT_PART + String.format("%012d", number);
    }

    private long segmentNumber(String key) {
        return Long.parseLong(key.substring(prefix.length() + SEGMENT_PART.length()));
    }

    private record PendingRecord(String line, Runnable whenDurable) {}
}
