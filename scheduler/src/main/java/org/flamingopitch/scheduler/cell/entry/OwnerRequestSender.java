package org.flamingopitch.scheduler.cell.entry;

import java.time.Duration;
import java.util.function.Consumer;
import org.flamingopitch.scheduler.cell.owner.JobAnswer;
import org.flamingopitch.scheduler.cell.owner.JobRequest;

/** Sends requests to the process that owns the cell. */
@FunctionalInterface
interface OwnerRequestSender {

    /** Sends a request; the handler receives the answer exactly once, before the timeout expires. */
    void send(JobRequest request, Duration timeout, Consumer<JobAnswer> handler);
}
