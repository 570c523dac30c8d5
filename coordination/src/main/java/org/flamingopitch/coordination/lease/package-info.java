/** Leases, whose validity a process checks by its own monotonic clock before each message or write as the holder. */
package org.flamingopitch.coordination.lease;
