package org.flamingopitch.scheduler.worker;

import java.time.Instant;
import java.util.function.Consumer;
import org.flamingopitch.scheduler.model.WorkerSpec;

/** Calls workers. */
public interface WorkerPort {

    /**
     * Calls a worker.
     *
     * @param worker the worker
     * @param request the call
     * @param notAfter the call must not leave this process after that time
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
