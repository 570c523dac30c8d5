package org.flamingopitch.scheduler.worker;

import java.time.Instant;
import java.util.function.Consumer;
import org.flamingopitch.scheduler.model.WorkerSpec;

/** The port through which the core calls workers. */
public interface WorkerPort {

    /**
     * Sends a request to a worker.
     *
     * @param worker the worker
     * @param request the request
     * @param notAfter the time after which the request must not be written to the connection
     * @param handler receives the result exactly once
     */
    void call(WorkerSpec worker, WorkerRequest request, Instant notAfter, Consumer<WorkerResult> handler);

    /**
     * Closes the connections to a worker.
     *
     * @param worker the worker
     */
    void release(WorkerSpec worker);
}
