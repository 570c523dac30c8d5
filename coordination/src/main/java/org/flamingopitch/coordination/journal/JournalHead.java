package org.flamingopitch.coordination.journal;

import org.flamingopitch.coordination.api.JsonCodec;

/**
 * Says which snapshot is current and which segments it replaces. Each owner writes it anew before it acts, so that a
 * former owner can make no snapshot current any more.
 *
 * @param epoch the epoch of the owner that wrote it
 * @param upToSegment the last segment that the snapshot contains
 * @param snapshotName the snapshot's name
 * @param parts the number of its parts
 */
record JournalHead(long epoch, long upToSegment, String snapshotName, int parts) {

    static JournalHead none() {
        return new JournalHead(0, 0, "none", 0);
    }

    static JournalHead decode(String text) {
        return JsonCodec.json().decode(text, JournalHead.class);
    }

    JournalHead claimedBy(long newEpoch) {
        return new JournalHead(newEpoch, upToSegment, snapshotName, parts);
    }

    String encode() {
        return JsonCodec.json().encode(this);
    }
}
