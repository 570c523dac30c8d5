package org.flamingopitch.scheduler.cell.owner;

import java.util.Objects;
import org.flamingopitch.coordination.api.ProcessId;

/**
 * The stored record under the owner's key.
 *
 * @param process the process that owns the cell
 * @param address the IP address and port at which other hosts reach the process
 * @param processors the processor time that the process may use, in processors
 * @param leaseId the lease that the key hangs on; empty if it is not known, as in a record of an earlier version
 */
public record OwnerRecord(ProcessId process, String address, double processors, String leaseId) {

    /** Rejects a record without a process or an address. */
    public OwnerRecord {
        Objects.requireNonNull(process, "process");
        Objects.requireNonNull(address, "address");
        leaseId = leaseId == null ? "" : leaseId;
    }

    /**
     * Creates a record that has not been written under a lease.
     *
     * @param process the process that owns the cell
     * @param address the IP address and port at which other hosts reach the process
     * @param processors the processor time that the process may use, in processors
     */
    public OwnerRecord(ProcessId process, String address, double processors) {
        this(process, address, processors, "");
    }

    /**
     * Returns this record as it is written under a lease.
     *
     * @param id the lease
     * @return the record
     */
    OwnerRecord withLease(String id) {
        return new OwnerRecord(process, address, processors, id);
    }

    /** Returns whether this is a record of the same process that was written under a lease. */
    boolean isClaimOf(OwnerRecord other, String id) {
        return process.equals(other.process) && leaseId.equals(id);
    }
}
