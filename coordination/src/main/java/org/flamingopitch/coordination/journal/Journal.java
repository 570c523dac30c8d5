package org.flamingopitch.coordination.journal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;

/**
 * The journal of one partition. Records are appended in groups, one write at a time, each under a new key that must not
 * exist yet. A successor writes a segment of its own before it acts, so that a write of the former owner that is still
 * under way can no longer take effect. A former owner that wakes late may still add a segment; the current owner writes
 * on behind it, and segments of a lower epoch behind those of a higher one are void.
 *
 * @param <R> the type of the records
 */
public final class Journal<R> {

    private static final String SEGMENT_PART = "segment/";

    private static final String SNAPSHOT_PART = "snapshot/";

    private static final String HEAD_PART = "head";

    private static final int DELETES_PER_COMMIT = 4;

    private final LoopContext context;

    private final String prefix;

    private final SegmentWriter writer;

    private final JournalSettings settings;

    private final JournalState<R> state;

    private final SegmentCodec<R> codec;

    private final Deque<PendingRecord> pending = new ArrayDeque<>();

    private final Deque<KeyValueEntry> obsolete = new ArrayDeque<>();

    private List<PendingRecord> inFlight = List.of();

    private Instant inFlightSince = Instant.MAX;

    private Instant lastWrite = Instant.EPOCH;

    private long nextSegment = 1;

    private long replayedEpoch;

    private long writes;

    private long durableRecords;

    private long writtenChars;

    private int segmentsSinceSnapshot;

    private JournalHead head = JournalHead.none();

    private long headVersion = KeyValueRequest.ABSENT;

    private boolean ready;

    private boolean closed;

    private boolean commitScheduled;

    private boolean failing;

    private boolean snapshotting;

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
    }

    /**
     * Reads the journal back and fences former owners.
     *
     * @param whenReady runs once records can be appended
     */
    public void recover(Runnable whenReady) {
        context.keyValue(new KeyValueRequest.ListPrefix(prefix), result -> applyRecovered(result, whenReady));
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
        List<KeyValueEntry> segments = readHead(listed);
        String fence = writer.fence();
        String fenceKey = segmentKey(nextSegment);
        context.keyValue(
                new KeyValueRequest.Put(fenceKey, codec.encode(fence, List.of()), KeyValueRequest.ABSENT, null),
                written -> applyFenced(written, fence, listed, segments, whenReady));
    }

    private List<KeyValueEntry> readHead(KeyValueResult.Listed listed) {
        Optional<KeyValueEntry> headEntry = listed.entries().stream()
                .filter(entry -> entry.key().equals(prefix + HEAD_PART))
                .findFirst();
        head = headEntry.map(entry -> JournalHead.decode(entry.value())).orElse(JournalHead.none());
        headVersion = headEntry.map(KeyValueEntry::version).orElse(KeyValueRequest.ABSENT);
        List<KeyValueEntry> segments = new ArrayList<>(listed.entries());
        segments.removeIf(entry -> !entry.key().startsWith(prefix + SEGMENT_PART));
        segments.sort(Comparator.comparing(KeyValueEntry::key));
        nextSegment = Math.max(head.upToSegment(), lastSegment(segments)) + 1;
        return segments;
    }

    private long lastSegment(List<KeyValueEntry> segments) {
        return segments.isEmpty()
                ? 0
                : segmentNumber(segments.get(segments.size() - 1).key());
    }

    private void applyFenced(
            KeyValueResult written,
            String fence,
            KeyValueResult.Listed listed,
            List<KeyValueEntry> segments,
            Runnable whenReady) {
        if (closed) {
            return;
        }
        if (!(written instanceof KeyValueResult.Written)) {
            context.schedule(settings.retryDelay(), () -> recover(whenReady));
            return;
        }
        nextSegment++;
        replaySnapshot(listed);
        segments.forEach(this::replaySegment);
        segmentsSinceSnapshot = segments.size();
        ready = true;
        whenReady.run();
        scheduleCommit();
    }

    private void replaySnapshot(KeyValueResult.Listed listed) {
        String live = prefix + SNAPSHOT_PART + head.snapshotName() + "/";
        for (KeyValueEntry entry : listed.entries()) {
            if (entry.key().startsWith(live)) {
                codec.records(entry.value()).forEach(state::replay);
            } else if (entry.key().startsWith(prefix + SNAPSHOT_PART)) {
                obsolete.add(entry);
            }
        }
    }

    private void replaySegment(KeyValueEntry segment) {
        if (segmentNumber(segment.key()) <= head.upToSegment()) {
            obsolete.add(segment);
            return;
        }
        String writeId = codec.writeId(segment.value());
        long epoch = SegmentWriter.epoch(writeId);
        if (epoch < replayedEpoch) {
            return;
        }
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
        context.keyValue(
                new KeyValueRequest.Put(segmentKey(nextSegment), segment, KeyValueRequest.ABSENT, null),
                result -> applyWritten(result, writeId, segment));
    }

    private void applyWritten(KeyValueResult result, String writeId, String segment) {
        if (closed) {
            return;
        }
        if (result instanceof KeyValueResult.Written) {
            applyDurable(segment);
            return;
        }
        if (result instanceof KeyValueResult.Conflict) {
            String segmentKey = segmentKey(nextSegment);
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
        } else if (writer.outranks(found)) {
            nextSegment++;
            write(writeId, segment);
        } else {
            closed = true;
            state.fenced();
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
        segmentsSinceSnapshot++;
        writtenChars += segment.length();
        List<PendingRecord> durable = inFlight;
        inFlight = List.of();
        durableRecords += durable.size();
        durable.forEach(record -> record.whenDurable().run());
        deleteObsolete();
        snapshotIfDue();
        scheduleCommit();
    }

    private void deleteObsolete() {
        for (int i = 0; i < DELETES_PER_COMMIT && !obsolete.isEmpty(); i++) {
            KeyValueEntry entry = obsolete.poll();
            context.keyValue(new KeyValueRequest.Delete(entry.key(), entry.version()), result -> {});
        }
    }

    private void snapshotIfDue() {
        if (snapshotting || segmentsSinceSnapshot < settings.segmentsPerSnapshot()) {
            return;
        }
        snapshotting = true;
        long upTo = nextSegment - 1;
        String name = upTo + "-" + writer.epoch();
        List<String> parts = encodeSnapshot(name);
        writeSnapshotPart(new SnapshotWrite(name, upTo, parts, 0));
    }

    private List<String> encodeSnapshot(String name) {
        List<String> parts = new ArrayList<>();
        List<String> lines = new ArrayList<>();
        int chars = 0;
        for (R record : state.snapshot()) {
            String line = codec.encodeRecord(record);
            lines.add(line);
            chars += line.length() + 1;
            if (chars >= settings.maxSegmentChars()) {
                parts.add(codec.encode(name, lines));
                lines.clear();
                chars = 0;
            }
        }
        parts.add(codec.encode(name, lines));
        return parts;
    }

    private void writeSnapshotPart(SnapshotWrite write) {
        if (closed) {
            return;
        }
        if (write.next() == write.parts().size()) {
            writeHead(write);
            return;
        }
        String key = snapshotKey(write.name(), write.next());
        context.keyValue(
                new KeyValueRequest.Put(key, write.parts().get(write.next()), KeyValueRequest.ABSENT, null),
                result -> applySnapshotPart(result, write));
    }

    private void applySnapshotPart(KeyValueResult result, SnapshotWrite write) {
        if (result.answered()) {
            writeSnapshotPart(write.advanced());
            return;
        }
        context.schedule(settings.retryDelay(), () -> writeSnapshotPart(write));
    }

    private void writeHead(SnapshotWrite write) {
        JournalHead newHead =
                new JournalHead(write.upTo(), write.name(), write.parts().size());
        context.keyValue(
                new KeyValueRequest.Put(prefix + HEAD_PART, newHead.encode(), headVersion, null),
                result -> applyHead(result, newHead));
    }

    private void applyHead(KeyValueResult result, JournalHead newHead) {
        snapshotting = false;
        if (!(result instanceof KeyValueResult.Written written)) {
            rereadHead();
            return;
        }
        collectObsolete(newHead);
        head = newHead;
        headVersion = written.version();
        segmentsSinceSnapshot = (int) (nextSegment - 1 - newHead.upToSegment());
    }

    private void rereadHead() {
        context.keyValue(new KeyValueRequest.Get(prefix + HEAD_PART), this::applyHeadRead);
    }

    private void applyHeadRead(KeyValueResult result) {
        if (result instanceof KeyValueResult.Found found) {
            head = JournalHead.decode(found.entry().value());
            headVersion = found.entry().version();
        }
    }

    private void collectObsolete(JournalHead newHead) {
        for (int part = 0; part < head.parts(); part++) {
            obsolete.add(new KeyValueEntry(snapshotKey(head.snapshotName(), part), null, KeyValueRequest.ANY));
        }
        for (long segment = head.upToSegment() + 1; segment <= newHead.upToSegment(); segment++) {
            obsolete.add(new KeyValueEntry(segmentKey(segment), null, KeyValueRequest.ANY));
        }
    }

    private String snapshotKey(String name, int part) {
        return prefix + SNAPSHOT_PART + name + "/" + part;
    }

    private String segmentKey(long number) {
        return prefix + SEGMENT_PART + String.format("%012d", number);
    }

    private long segmentNumber(String key) {
        return Long.parseLong(key.substring(prefix.length() + SEGMENT_PART.length()));
    }

    private record PendingRecord(String line, Runnable whenDurable) {}

    private record SnapshotWrite(String name, long upTo, List<String> parts, int next) {
        SnapshotWrite advanced() {
            return new SnapshotWrite(name, upTo, parts, next + 1);
        }
    }
}
