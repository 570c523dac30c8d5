package org.flamingopitch.scheduler.cell.owner;

import org.flamingopitch.coordination.api.ProcessId;

/**
 * The stored record under the owner's key.
 *
 * @param process the process that owns the cell
 * @param address the IP address and port at which other hosts reach the process
 */
public record OwnerRecord(ProcessId process, String address) {}
