package org.flamingopitch.scheduler.cell.owner;

import java.util.Objects;
import org.flamingopitch.coordination.api.ProcessId;

/**
 * The stored record under the owner's key.
 *
 * @param process the process that owns the cell
 * @param address the IP address and port at which other hosts reach the process
 * @param processors the processor time that the process may use, in processors
 */
public record OwnerRecord(ProcessId process, String address, double processors) {

    /** Rejects a record without a process or an address. */
    public OwnerRecord {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(address, "address");
    }

    /**
     * Returns whether this is a former process of a host. It has ended, as the present process uses its address, so its
     * key can be replaced before its lease expires.
     */
    boolean replaceableBy(OwnerRecord present) {
        return address.equals(present.address) && !process.equals(present.process);
    }
}
