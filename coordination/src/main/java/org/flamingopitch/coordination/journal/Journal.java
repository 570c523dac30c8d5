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
 * The write-ahead journal of one partition in the key-value store. Records are committed in groups, one write at a
 * time: each group is stored as a segment under a new key, on the condition that the key does not exist. Before a new
 * owner replays the journal and accepts records, it writes an empty segment and rewrites the head with its own epoch;
 * this fences earlier owners, because their delayed segment and snapshot writes fail on a version conflict. An owner
 * that finds a later epoch or a segment of another writer stops.
 *
 * @param <R> the type of the records
 */
public final class Journal<R> {

    private static final String SEGMENT_KEY_PREFIX = "segment/";

    private final LoopContext context;

    private final String keyPrefix;

    private final WriteIdFactory writeIds;

    private final JournalSettings settings;

    private final JournalState<R> state;

    private final SegmentCodec<R> codec;

    private final JournalSnapshots<R> snapshots;

    private final Deque<PendingRecord> pending = new ArrayDeque<>();

    private List<PendingRecord> inFlight = List.of();

    private Instant inFlightSince = Instant.MAX;

    private Instant lastWriteAt = Instant.EPOCH;

    /** The time at which the last request was sent whose answer proved that no snapshot had replaced the next segment. */
    private Instant verifiedAt = Instant.EPOCH;

    private long nextSegment = 1;

    private long replayedEpoch;

    private long writeCount;

    private long durableRecordCount;

    private long writtenCharCount;

    private boolean ready;

    private boolean closed;

    private boolean commitScheduled;

    private boolean lastWriteFailed;

    /**
     * Creates a journal; it writes records once {@link #recover} has completed.
     *
     * @param context the time, timers and store calls
     * @param keyPrefix the prefix of the keys of the journal
     * @param owner the name of this owner
     * @param epoch the epoch of this ownership, higher than that of each earlier owner
     * @param settings the limits and times
     * @param codec encodes the records
     * @param recordType the sealed type of the records
     * @param state the state that the journal makes durable
     */
    public Journal(
            LoopContext context,
            String keyPrefix,
            String owner,
            long epoch,
            JournalSettings settings,
            JsonCodec codec,
            Class<R> recordType,
            JournalState<R> state) {
        this.context = context;
        this.keyPrefix = keyPrefix;
        this.writeIds = new WriteIdFactory(epoch, owner);
        this.settings = settings;
        this.state = state;
        this.codec = new SegmentCodec<>(codec, recordType);
        this.snapshots = new JournalSnapshots<>(context, keyPrefix, writeIds, settings, state, this.codec);
    }

    /**
     * Reads the journal, fences earlier owners and replays the records. Retries until it succeeds or a later owner is
     * found.
     *
     * @param whenReady runs once records can become durable
     */
    public void recover(Runnable whenReady) {
        Instant sentAt = context.now();
        context.callStore(new KeyValueRequest.ListPrefix(keyPrefix), result -> {
            verifiedAt = sentAt;
            handleListed(result, whenReady);
        });
    }

    /**
     * Queues a record for the next segment.
     *
     * @param record the record
     * @param whenDurable runs once the record is durable; does not run if this owner is fenced before
     */
    public void append(R record, Runnable whenDurable) {
        pending.add(new PendingRecord(codec.encodeRecord(record), whenDurable));
        scheduleCommit();
    }

    /** Stops all further writes of segments and snapshots. */
    public void close() {
        closed = true;
        snapshots.close();
    }

    /**
     * Returns whether recovery has completed.
     *
     * @return whether records can become durable
     */
    public boolean ready() {
        return ready;
    }

    /**
     * Returns whether the store answers writes of segments in time.
     *
     * @return whether recovery has completed, the last write succeeded and the current one is not slow
     */
    public boolean healthy() {
        boolean slow = inFlightSince.isBefore(context.now().minus(settings.slowWriteThreshold()));
        return ready && !lastWriteFailed && !slow;
    }

    /**
     * Returns whether all appended records are durable.
     *
     * @return whether no record is queued or being written
     */
    public boolean allDurable() {
        return pending.isEmpty() && inFlight.isEmpty();
    }

    /**
     * Returns the amounts of data written.
     *
     * @return the statistics
     */
    public JournalStatistics statistics() {
        return new JournalStatistics(durableRecordCount, writeCount, writtenCharCount);
    }

    private void handleListed(KeyValueResult result, Runnable whenReady) {
        if (closed) {
            return;
        }
        if (!(result instanceof KeyValueResult.Listed listed)) {
            context.schedule(settings.retryDelay(), () -> recover(whenReady));
            return;
        }
        List<KeyValueEntry> segments = readSegments(listed);
        if (hasLaterEpoch(segments)) {
            stopFenced();
            return;
        }
        context.callStore(
                new KeyValueRequest.Put(
                        segmentKey(keyPrefix, nextSegment),
                        codec.encode(writeIds.fencingWriteId(), List.of()),
                        KeyValueRequest.ABSENT,
                        null),
                written -> handleFencingWrite(written, listed, segments, whenReady));
    }

    private boolean hasLaterEpoch(List<KeyValueEntry> segments) {
        long latest = segments.stream()
                .mapToLong(segment -> WriteIdFactory.epochOf(codec.writeId(segment.value())))
                .max()
                .orElse(0);
        return Math.max(latest, snapshots.epoch()) > writeIds.epoch();
    }

    private List<KeyValueEntry> readSegments(KeyValueResult.Listed listed) {
        snapshots.loadHead(listed);
        List<KeyValueEntry> segments = new ArrayList<>(listed.entries());
        segments.removeIf(entry -> !entry.key().startsWith(keyPrefix + SEGMENT_KEY_PREFIX));
        segments.sort(Comparator.comparing(KeyValueEntry::key));
        nextSegment = Math.max(snapshots.lastReplacedSegment(), lastSegment(segments)) + 1;
        return segments;
    }

    private long lastSegment(List<KeyValueEntry> segments) {
        return segments.isEmpty()
                ? 0
                : segmentNumber(segments.get(segments.size() - 1).key());
    }

    private void handleFencingWrite(
            KeyValueResult written, KeyValueResult.Listed listed, List<KeyValueEntry> segments, Runnable whenReady) {
        if (closed) {
            return;
        }
        if (!(written instanceof KeyValueResult.Written)) {
            context.schedule(settings.retryDelay(), () -> recover(whenReady));
            return;
        }
        nextSegment++;
        snapshots.claimHead(claimed -> handleHeadClaim(claimed, listed, segments, whenReady));
    }

    private void handleHeadClaim(
            boolean claimed, KeyValueResult.Listed listed, List<KeyValueEntry> segments, Runnable whenReady) {
        if (closed) {
            return;
        }
        if (!claimed) {
            context.schedule(settings.retryDelay(), () -> recover(whenReady));
            return;
        }
        snapshots.replaySnapshot(listed, segments.size());
        segments.forEach(this::replaySegment);
        ready = true;
        whenReady.run();
        scheduleCommit();
    }

    private void replaySegment(KeyValueEntry segment) {
        if (segmentNumber(segment.key()) <= snapshots.lastReplacedSegment()) {
            snapshots.scheduleDeletion(segment.key());
            return;
        }
        long epoch = WriteIdFactory.epochOf(codec.writeId(segment.value()));
        if (epoch > replayedEpoch) {
            state.onEpochStart();
            replayedEpoch = epoch;
        }
        codec.records(segment.value()).forEach(state::replay);
    }

    private void scheduleCommit() {
        if (commitScheduled || !ready || closed || !inFlight.isEmpty() || pending.isEmpty()) {
            return;
        }
        commitScheduled = true;
        Duration delay = Duration.between(context.now(), lastWriteAt.plus(settings.minCommitInterval()));
        context.schedule(delay.isNegative() ? Duration.ZERO : delay, this::commit);
    }

    private void commit() {
        commitScheduled = false;
        if (closed || !inFlight.isEmpty()) {
            return;
        }
        inFlight = takeGroup();
        inFlightSince = context.now();
        writeCount++;
        String writeId = writeIds.recordsWriteId(writeCount);
        List<String> lines = inFlight.stream().map(PendingRecord::line).toList();
        writeSegment(writeId, codec.encode(writeId, lines));
    }

    private List<PendingRecord> takeGroup() {
        List<PendingRecord> group = new ArrayList<>();
        int chars = 0;
        while (!pending.isEmpty() && (group.isEmpty() || chars < settings.targetSegmentChars())) {
            PendingRecord next = pending.poll();
            chars += next.line().length() + 1;
            group.add(next);
        }
        return group;
    }

    private void writeSegment(String writeId, String segment) {
        if (closed) {
            return;
        }
        lastWriteAt = context.now();
        if (context.now().isAfter(verifiedAt.plus(settings.verifyAfterIdle()))) {
            verifyNextSegment(writeId, segment);
            return;
        }
        Instant sentAt = context.now();
        context.callStore(
                new KeyValueRequest.Put(segmentKey(keyPrefix, nextSegment), segment, KeyValueRequest.ABSENT, null),
                result -> handleSegmentWrite(result, writeId, segment, sentAt));
    }

    /**
     * Reads the head before a write after an idle time. Meanwhile another owner may have written the next segment,
     * replaced it with a snapshot and deleted it, so that the write would find no conflicting key.
     */
    private void verifyNextSegment(String writeId, String segment) {
        Instant sentAt = context.now();
        snapshots.refreshHead(answered -> {
            if (!answered) {
                retryWrite(writeId, segment);
            } else if (snapshots.lastReplacedSegment() >= nextSegment) {
                stopFenced();
            } else {
                verifiedAt = sentAt;
                writeSegment(writeId, segment);
            }
        });
    }

    private void stopFenced() {
        close();
        state.onFenced();
    }

    private void handleSegmentWrite(KeyValueResult result, String writeId, String segment, Instant sentAt) {
        if (closed) {
            return;
        }
        if (result instanceof KeyValueResult.Written) {
            verifiedAt = sentAt;
            completeCommit(segment);
            return;
        }
        if (result instanceof KeyValueResult.Conflict) {
            String segmentKey = segmentKey(keyPrefix, nextSegment);
            context.callStore(new KeyValueRequest.Get(segmentKey), read -> handleConflictRead(read, writeId, segment));
            return;
        }
        retryWrite(writeId, segment);
    }

    private void handleConflictRead(KeyValueResult read, String writeId, String segment) {
        if (closed) {
            return;
        }
        if (!read.answered()) {
            retryWrite(writeId, segment);
            return;
        }
        String foundWriteId = read instanceof KeyValueResult.Found found
                ? codec.writeId(found.entry().value())
                : "";
        if (foundWriteId.equals(writeId)) {
            completeCommit(segment);
        } else {
            stopFenced();
        }
    }

    private void retryWrite(String writeId, String segment) {
        lastWriteFailed = true;
        context.schedule(settings.retryDelay(), () -> writeSegment(writeId, segment));
    }

    private void completeCommit(String segment) {
        lastWriteFailed = false;
        inFlightSince = Instant.MAX;
        nextSegment++;
        writtenCharCount += segment.length();
        List<PendingRecord> durable = inFlight;
        inFlight = List.of();
        durableRecordCount += durable.size();
        durable.forEach(record -> record.whenDurable().run());
        snapshots.onSegmentWritten(nextSegment - 1);
        scheduleCommit();
    }

    static String segmentKey(String keyPrefix, long number) {
        return keyPrefix + SEGMENT_KEY_PREFIX + String.format("%012d", number);
    }

    private long segmentNumber(String key) {
        return Long.parseLong(key.substring(keyPrefix.length() + SEGMENT_KEY_PREFIX.length()));
    }

    private record PendingRecord(String line, Runnable whenDurable) {}
}
