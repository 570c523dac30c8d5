package org.flamingopitch.coordination.journal;

/**
 * Names the writes of one owner, so that its own writes, those of a successor and those of a former owner that woke
 * late can be told apart.
 *
 * @param epoch the epoch of the ownership
 * @param owner the owner
 */
record SegmentWriter(long epoch, String owner) {

    private static final char SEPARATOR = ' ';

    String fence() {
        return epoch + " " + owner + " fence";
    }

    String write(long number) {
        return epoch + " " + owner + " " + number;
    }

    /** Tells whether this owner came after the writer of another segment. */
    boolean outranks(String otherWriteId) {
        return epoch(otherWriteId) < epoch;
    }

    static long epoch(String writeId) {
        int end = writeId.indexOf(SEPARATOR);
        return end < 0 ? Long.MAX_VALUE : Long.parseLong(writeId.substring(0, end));
    }
}
