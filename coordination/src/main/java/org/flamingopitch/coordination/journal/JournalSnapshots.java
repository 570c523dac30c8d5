package org.flamingopitch.coordination.journal;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;

/**
 * Writes and reads the snapshots of a journal. A snapshot is written in parts and comes into use when the head is
 * changed to refer to it. The segments and the older snapshot that it replaces are deleted after a retention time, in
 * which a delayed write of an earlier owner still finds a conflicting key.
 *
 * @param <R> the type of the records
 */
final class JournalSnapshots<R> {

    private static final String SNAPSHOT_KEY_PREFIX = "snapshot/";

    private static final String HEAD_KEY_SUFFIX = "head";

    private static final int MAX_DELETES_PER_COMMIT = 4;

    private final LoopContext context;

    private final String keyPrefix;

    private final WriteIdFactory writeIds;

    private final JournalSettings settings;

    private final JournalState<R> state;

    private final SegmentCodec<R> codec;

    private final Deque<ReplacedKey> replacedKeys = new ArrayDeque<>();

    private JournalHead head = JournalHead.none();

    private long headVersion = KeyValueRequest.ABSENT;

    private int segmentsSinceSnapshot;

    private boolean snapshotInProgress;

    private boolean closed;

    JournalSnapshots(
            LoopContext context,
            String keyPrefix,
            WriteIdFactory writeIds,
            JournalSettings settings,
            JournalState<R> state,
            SegmentCodec<R> codec) {
        this.context = context;
        this.keyPrefix = keyPrefix;
        this.writeIds = writeIds;
        this.settings = settings;
        this.state = state;
        this.codec = codec;
    }

    void close() {
        closed = true;
    }

    long lastReplacedSegment() {
        return head.upToSegment();
    }

    long epoch() {
        return head.epoch();
    }

    /** Rewrites the head with the epoch of this owner; the callback receives whether the write succeeded. */
    void claimHead(Consumer<Boolean> whenAnswered) {
        JournalHead claimedHead = head.withEpoch(writeIds.epoch());
        context.callStore(
                new KeyValueRequest.Put(keyPrefix + HEAD_KEY_SUFFIX, claimedHead.encode(), headVersion, null),
                result -> {
                    boolean written = result instanceof KeyValueResult.Written;
                    if (written) {
                        head = claimedHead;
                        headVersion = ((KeyValueResult.Written) result).version();
                    }
                    whenAnswered.accept(written);
                });
    }

    /** Loads the current head from a list of all keys of the journal. */
    void loadHead(KeyValueResult.Listed listed) {
        Optional<KeyValueEntry> entry = listed.entries().stream()
                .filter(each -> each.key().equals(keyPrefix + HEAD_KEY_SUFFIX))
                .findFirst();
        head = entry.map(each -> JournalHead.decode(each.value())).orElse(JournalHead.none());
        headVersion = entry.map(KeyValueEntry::version).orElse(KeyValueRequest.ABSENT);
    }

    /** Replays the current snapshot from a list of all keys of the journal and schedules the deletion of all others. */
    void replaySnapshot(KeyValueResult.Listed listed, int listedSegmentCount) {
        segmentsSinceSnapshot = listedSegmentCount;
        String currentSnapshotPrefix = keyPrefix + SNAPSHOT_KEY_PREFIX + head.snapshotName() + "/";
        for (KeyValueEntry entry : listed.entries()) {
            if (entry.key().startsWith(currentSnapshotPrefix)) {
                codec.records(entry.value()).forEach(state::replay);
            } else if (entry.key().startsWith(keyPrefix + SNAPSHOT_KEY_PREFIX)) {
                scheduleDeletion(entry.key());
            }
        }
    }

    /** Schedules the deletion of a key after the retention time. */
    void scheduleDeletion(String key) {
        replacedKeys.add(new ReplacedKey(key, context.now().plus(settings.replacedRetention())));
    }

    /** Counts a written segment, deletes keys whose retention time is over and starts a snapshot if one is due. */
    void onSegmentWritten(long segment) {
        segmentsSinceSnapshot++;
        deleteExpiredKeys();
        startSnapshotIfDue(segment);
    }

    /** Reads the head again; the callback receives whether the store answered. */
    void refreshHead(Consumer<Boolean> whenAnswered) {
        context.callStore(new KeyValueRequest.Get(keyPrefix + HEAD_KEY_SUFFIX), result -> {
            handleHeadRead(result);
            whenAnswered.accept(result.answered());
        });
    }

    private void deleteExpiredKeys() {
        for (int i = 0; i < MAX_DELETES_PER_COMMIT && !replacedKeys.isEmpty(); i++) {
            if (context.now().isBefore(replacedKeys.peek().deletableAt())) {
                return;
            }
            String key = replacedKeys.poll().key();
            context.callStore(new KeyValueRequest.Delete(key, KeyValueRequest.ANY), result -> {});
        }
    }

    private void startSnapshotIfDue(long writtenSegment) {
        if (snapshotInProgress || segmentsSinceSnapshot < settings.segmentsPerSnapshot()) {
            return;
        }
        snapshotInProgress = true;
        long lastSegment = writtenSegment;
        String name = lastSegment + "-" + writeIds.epoch();
        List<String> parts = encodeSnapshot(name);
        writeNextPart(new SnapshotWrite(name, lastSegment, parts, 0));
    }

    private List<String> encodeSnapshot(String name) {
        List<String> parts = new ArrayList<>();
        List<String> lines = new ArrayList<>();
        int chars = 0;
        for (R record : state.snapshot()) {
            String line = codec.encodeRecord(record);
            lines.add(line);
            chars += line.length() + 1;
            if (chars >= settings.targetSegmentChars()) {
                parts.add(codec.encode(name, lines));
                lines.clear();
                chars = 0;
            }
        }
        parts.add(codec.encode(name, lines));
        return parts;
    }

    private void writeNextPart(SnapshotWrite write) {
        if (closed) {
            return;
        }
        if (write.nextPart() == write.parts().size()) {
            writeHead(write);
            return;
        }
        String key = snapshotKey(write.name(), write.nextPart());
        context.callStore(
                new KeyValueRequest.Put(key, write.parts().get(write.nextPart()), KeyValueRequest.ABSENT, null),
                result -> handlePartWrite(result, write));
    }

    private void handlePartWrite(KeyValueResult result, SnapshotWrite write) {
        if (result.answered()) {
            writeNextPart(write.forNextPart());
            return;
        }
        context.schedule(settings.retryDelay(), () -> writeNextPart(write));
    }

    private void writeHead(SnapshotWrite write) {
        JournalHead newHead = new JournalHead(
                writeIds.epoch(),
                write.lastSegment(),
                write.name(),
                write.parts().size());
        context.callStore(
                new KeyValueRequest.Put(keyPrefix + HEAD_KEY_SUFFIX, newHead.encode(), headVersion, null),
                result -> handleHeadWrite(result, newHead));
    }

    private void handleHeadWrite(KeyValueResult result, JournalHead newHead) {
        snapshotInProgress = false;
        if (!(result instanceof KeyValueResult.Written written)) {
            refreshHead(answered -> {});
            return;
        }
        scheduleReplacedDeletions(newHead);
        head = newHead;
        headVersion = written.version();
        segmentsSinceSnapshot = 0;
    }

    private void handleHeadRead(KeyValueResult result) {
        if (result instanceof KeyValueResult.Found found) {
            head = JournalHead.decode(found.entry().value());
            headVersion = found.entry().version();
        }
    }

    private void scheduleReplacedDeletions(JournalHead newHead) {
        for (int part = 0; part < head.parts(); part++) {
            scheduleDeletion(snapshotKey(head.snapshotName(), part));
        }
        for (long segment = head.upToSegment() + 1; segment <= newHead.upToSegment(); segment++) {
            scheduleDeletion(Journal.segmentKey(keyPrefix, segment));
        }
    }

    private String snapshotKey(String name, int part) {
        return keyPrefix + SNAPSHOT_KEY_PREFIX + name + "/" + part;
    }

    private record ReplacedKey(String key, Instant deletableAt) {}

    private record SnapshotWrite(String name, long lastSegment, List<String> parts, int nextPart) {
        SnapshotWrite forNextPart() {
            return new SnapshotWrite(name, lastSegment, parts, nextPart + 1);
        }
    }
}
