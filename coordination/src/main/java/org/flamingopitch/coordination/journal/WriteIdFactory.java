package org.flamingopitch.coordination.journal;

/**
 * Creates the ids of the segment writes of one owner. From the id in a stored segment an owner recognizes its own write
 * after a lost answer, and reads the epoch of another writer.
 *
 * @param epoch the epoch of the ownership
 * @param owner the name of the owner
 */
record WriteIdFactory(long epoch, String owner) {

    private static final char SEPARATOR = ' ';

    String fencingWriteId() {
        return epoch + " " + owner + " fence";
    }

    String recordsWriteId(long number) {
        return epoch + " " + owner + " " + number;
    }

    /** Returns the epoch in a write id; {@link Long#MAX_VALUE} for text without a separator, which counts as later. */
    static long epochOf(String writeId) {
        int end = writeId.indexOf(SEPARATOR);
        return end < 0 ? Long.MAX_VALUE : Long.parseLong(writeId.substring(0, end));
    }
}
