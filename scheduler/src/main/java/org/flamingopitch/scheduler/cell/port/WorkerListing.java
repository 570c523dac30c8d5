package org.flamingopitch.scheduler.cell.port;

import java.util.List;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.scheduler.cell.model.WorkerEntry;

/** The outcome of reading the entries of all workers. */
public sealed interface WorkerListing {

    /**
     * The entries that name a worker to use.
     *
     * @param workers the entries
     */
    record Listed(List<WorkerEntry> workers) implements WorkerListing {}

    /**
     * The entries could not be read.
     *
     * @param failure the step and peer
     */
    record Unavailable(Failure failure) implements WorkerListing {}
}
