package org.flamingopitch.standins.kv;

/**
 * How many calls the service has answered.
 *
 * @param reads calls that read, a waiting watch as one
 * @param writes calls that write, renewals of leases among them
 * @param bytesWritten the characters of all values written
 */
public record CallCounts(long reads, long writes, long bytesWritten) {}
