package org.flamingopitch.scheduler.cell.entry;

import java.time.Duration;
import java.util.function.Consumer;
import org.flamingopitch.scheduler.cell.owner.JobRequest;
import org.flamingopitch.scheduler.cell.owner.OwnerRecord;

/** Forwards requests to the cell's owner when it runs on another host. */
public interface OwnerClient {

    /**
     * Forwards a request.
     *
     * @param owner the process that owns the cell
     * @param request the request
     * @param timeout how long to wait for the answer
     * @param handler receives the outcome exactly once, in the single-writer loop
     */
    void forward(OwnerRecord owner, JobRequest request, Duration timeout, Consumer<ForwardOutcome> handler);
}
