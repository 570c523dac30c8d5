package org.flamingopitch.scheduler.cell.port;

import java.util.function.Consumer;
import org.flamingopitch.coordination.api.LoopContext;

/** What the owner of a cell may use inside the single-writer loop; every callback runs in that loop. */
public interface CellContext extends LoopContext {

    /**
     * Returns the time of day, which may jump; for due times of timed jobs only.
     *
     * @return milliseconds since 1970
     */
    long timeOfDayMillis();

    /**
     * Calls a worker.
     *
     * @param target the worker
     * @param order the order
     * @param handler receives the answer exactly once
     */
    void callWorker(WorkerTarget target, WorkerOrder order, Consumer<WorkerAnswer> handler);

    /**
     * Reads the entries of all workers.
     *
     * @param handler receives the entries, or a failure, exactly once
     */
    void listWorkers(Consumer<WorkerListing> handler);
}
