package org.flamingopitch.scheduler.cell.entry;

import java.time.Duration;
import java.util.function.Consumer;
import org.flamingopitch.scheduler.cell.owner.JobAnswer;
import org.flamingopitch.scheduler.cell.owner.JobRequest;

/** Passes requests to whichever process owns the cell. */
@FunctionalInterface
interface OwnerCallFactory {

    /** Sends a request; the answer comes exactly once, before the patience is over. */
    void send(JobRequest request, Duration patience, Consumer<JobAnswer> handler);
}
