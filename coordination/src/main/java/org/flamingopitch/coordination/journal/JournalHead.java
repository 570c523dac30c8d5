package org.flamingopitch.coordination.journal;

import org.flamingopitch.coordination.api.JsonCodec;

/**
 * Says which snapshot is current and which segments it replaces.
 *
 * @param upToSegment the last segment that the snapshot contains
 * @param snapshotName the snapshot's name
 * @param parts the number of its parts
 */
record JournalHead(long upToSegment, String snapshotName, int parts) {

    static JournalHead none() {
        return new JournalHead(0, "none", 0);
    }

    static JournalHead decode(String text) {
        return JsonCodec.json().decode(text, JournalHead.class);
    }

    String encode() {
        return JsonCodec.json().encode(this);
    }
}
