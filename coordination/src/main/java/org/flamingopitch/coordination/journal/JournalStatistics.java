package org.flamingopitch.coordination.journal;

/**
 * The amounts of data that a journal has written since its creation.
 *
 * @param records the number of durable records
 * @param writes the number of groups of records that were written or are being written
 * @param chars the number of characters in the written segments
 */
public record JournalStatistics(long records, long writes, long chars) {}
