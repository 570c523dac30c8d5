package org.flamingopitch.standins.kv;

/**
 * The number of calls that the key-value service has received since it was created.
 *
 * @param reads calls that read; each watch counts once, however long it waits
 * @param writes calls that write keys or leases, including renewals of leases
 * @param bytesWritten the sum of the lengths of all values written, in characters
 */
public record CallCounts(long reads, long writes, long bytesWritten) {}
