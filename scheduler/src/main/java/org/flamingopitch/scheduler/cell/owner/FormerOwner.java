package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;

/**
 * The last owner of the cell before this process.
 *
 * @param owner its record
 * @param version the version of its record
 * @param seenAt when this process first saw the record; all earlier owners had lost the owner's key before
 */
public record FormerOwner(OwnerRecord owner, long version, Instant seenAt) {}
