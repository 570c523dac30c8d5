package org.flamingopitch.coordination.journal;

/**
 * Names the writes of one owner, so that an owner knows its own after a lost answer and the epoch of any other.
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

    static long epoch(String writeId) {
        int end = writeId.indexOf(SEPARATOR);
        return end < 0 ? Long.MAX_VALUE : Long.parseLong(writeId.substring(0, end));
    }
}
