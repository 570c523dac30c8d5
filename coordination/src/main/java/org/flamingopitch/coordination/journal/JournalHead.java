package org.flamingopitch.coordination.journal;

import org.flamingopitch.coordination.api.JsonCodec;

/**
 * The stored head of a journal: the current snapshot and the segments that it replaces. Each new owner rewrites it
 * before it accepts records, so that the compare-and-swap with which an earlier owner would put a snapshot into use
 * fails.
 *
 * @param epoch the epoch of the owner that wrote it
 * @param upToSegment the number of the last segment that the snapshot replaces
 * @param snapshotName the name of the snapshot
 * @param parts the number of parts of the snapshot
 */
record JournalHead(long epoch, long upToSegment, String snapshotName, int parts) {

    static JournalHead none() {
        return new JournalHead(0, 0, "none", 0);
    }

    static JournalHead decode(String text) {
        return JsonCodec.json().decode(text, JournalHead.class);
    }

    JournalHead withEpoch(long newEpoch) {
        return new JournalHead(newEpoch, upToSegment, snapshotName, parts);
    }

    String encode() {
        return JsonCodec.json().encode(this);
    }
}
