package org.flamingopitch.coordination.journal;

/**
 * What a journal has written so far.
 *
 * @param records the number of durable records
 * @param writes the number of calls that wrote
 * @param chars the characters written
 */
public record JournalFigures(long records, long writes, long chars) {}
