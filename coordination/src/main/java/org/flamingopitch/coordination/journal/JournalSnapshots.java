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
 * The snapshots of a journal: writes them in parts, makes one current by its head, and deletes what it replaces once
 * no late writer can meet it any more.
 *
 * @param <R> the type of the records
 */
final class JournalSnapshots<R> {

    private static final String SNAPSHOT_PART = "snapshot/";

    private static final String HEAD_PART = "head";

    private static final int DELETES_PER_COMMIT = 4;

    private final LoopContext context;

    private final String prefix;

    private final SegmentWriter writer;

    private final JournalSettings settings;

    private final JournalState<R> state;

    private final SegmentCodec<R> codec;

    private final Deque<Replaced> replaced = new ArrayDeque<>();

    private JournalHead head = JournalHead.none();

    private long headVersion = KeyValueRequest.ABSENT;

    private int segmentsSinceSnapshot;

    private boolean snapshotting;

    private boolean closed;

    JournalSnapshots(
            LoopContext context,
            String prefix,
            SegmentWriter writer,
            JournalSettings settings,
            JournalState<R> state,
            SegmentCodec<R> codec) {
        this.context = context;
        this.prefix = prefix;
        this.writer = writer;
        this.settings = settings;
        this.state = state;
        this.codec = codec;
    }

    void close() {
        closed = true;
    }

    long upToSegment() {
        return head.upToSegment();
    }

    long epoch() {
        return head.epoch();
    }

    /** Writes the head anew and tells whether this owner's head is the current one. */
    void claim(Consumer<Boolean> whenAnswered) {
        JournalHead claimed = head.claimedBy(writer.epoch());
        context.keyValue(new KeyValueRequest.Put(prefix + HEAD_PART, claimed.encode(), headVersion, null), result -> {
            boolean written = result instanceof KeyValueResult.Written;
            if (written) {
                head = claimed;
                headVersion = ((KeyValueResult.Written) result).version();
            }
            whenAnswered.accept(written);
        });
    }

    /** Takes the current head out of a list of all keys of the journal. */
    void readHead(KeyValueResult.Listed listed) {
        Optional<KeyValueEntry> entry = listed.entries().stream()
                .filter(each -> each.key().equals(prefix + HEAD_PART))
                .findFirst();
        head = entry.map(each -> JournalHead.decode(each.value())).orElse(JournalHead.none());
        headVersion = entry.map(KeyValueEntry::version).orElse(KeyValueRequest.ABSENT);
    }

    /** Replays the current snapshot out of a list of all keys of the journal. */
    void replay(KeyValueResult.Listed listed, int segmentsBehind) {
        segmentsSinceSnapshot = segmentsBehind;
        String live = prefix + SNAPSHOT_PART + head.snapshotName() + "/";
        for (KeyValueEntry entry : listed.entries()) {
            if (entry.key().startsWith(live)) {
                codec.records(entry.value()).forEach(state::replay);
            } else if (entry.key().startsWith(prefix + SNAPSHOT_PART)) {
                replace(entry.key());
            }
        }
    }

    /** Notes a key that is to be deleted later. */
    void replace(String key) {
        replaced.add(new Replaced(key, context.now().plus(settings.retainReplaced())));
    }

    /** Notes that a segment was written. */
    void segmentWritten(long number) {
        segmentsSinceSnapshot++;
        deleteReplaced();
        snapshotIfDue(number);
    }

    /** Reads the head again and tells whether the store answered. */
    void refreshHead(Consumer<Boolean> whenAnswered) {
        context.keyValue(new KeyValueRequest.Get(prefix + HEAD_PART), result -> {
            applyHeadRead(result);
            whenAnswered.accept(result.answered());
        });
    }

    private void deleteReplaced() {
        for (int i = 0; i < DELETES_PER_COMMIT && !replaced.isEmpty(); i++) {
            if (context.now().isBefore(replaced.peek().deletableAt())) {
                return;
            }
            String key = replaced.poll().key();
            context.keyValue(new KeyValueRequest.Delete(key, KeyValueRequest.ANY), result -> {});
        }
    }

    private void snapshotIfDue(long lastSegment) {
        if (snapshotting || segmentsSinceSnapshot < settings.segmentsPerSnapshot()) {
            return;
        }
        snapshotting = true;
        long upTo = lastSegment;
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
        JournalHead newHead = new JournalHead(
                writer.epoch(), write.upTo(), write.name(), write.parts().size());
        context.keyValue(
                new KeyValueRequest.Put(prefix + HEAD_PART, newHead.encode(), headVersion, null),
                result -> applyHead(result, newHead));
    }

    private void applyHead(KeyValueResult result, JournalHead newHead) {
        snapshotting = false;
        if (!(result instanceof KeyValueResult.Written written)) {
            refreshHead(answered -> {});
            return;
        }
        collectReplaced(newHead);
        head = newHead;
        headVersion = written.version();
        segmentsSinceSnapshot = 0;
    }

    private void applyHeadRead(KeyValueResult result) {
        if (result instanceof KeyValueResult.Found found) {
            head = JournalHead.decode(found.entry().value());
            headVersion = found.entry().version();
        }
    }

    private void collectReplaced(JournalHead newHead) {
        for (int part = 0; part < head.parts(); part++) {
            replace(snapshotKey(head.snapshotName(), part));
        }
        for (long segment = head.upToSegment() + 1; segment <= newHead.upToSegment(); segment++) {
            replace(Journal.segmentKey(prefix, segment));
        }
    }

    private String snapshotKey(String name, int part) {
        return prefix + SNAPSHOT_PART + name + "/" + part;
    }

    private record Replaced(String key, Instant deletableAt) {}

    private record SnapshotWrite(String name, long upTo, List<String> parts, int next) {
        SnapshotWrite advanced() {
            return new SnapshotWrite(name, upTo, parts, next + 1);
        }
    }
}
