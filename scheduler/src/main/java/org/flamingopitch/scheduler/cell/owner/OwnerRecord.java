package org.flamingopitch.scheduler.cell.owner;

import org.flamingopitch.coordination.api.ProcessId;

/**
 * The value of the owner's key.
 *
 * @param process the process that owns the cell
 * @param address where other hosts reach it, IP number and port
 */
public record OwnerRecord(ProcessId process, String address) {}
