package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;

/**
 * An attempt of this process to become the owner.
 *
 * @param leaseId the lease under which the record of this process is written
 * @param sentAt when this process sent the record, {@link Instant#MIN} if another process wrote it
 */
record OwnershipClaim(String leaseId, Instant sentAt) {}
