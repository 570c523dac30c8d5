package org.flamingopitch.scheduler.cell.port;

import java.util.List;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.scheduler.cell.model.WorkerEntry;

/** The outcome of reading the registrations of all workers. */
public sealed interface WorkerListing {

    /**
     * The valid registrations.
     *
     * @param workers the registrations
     */
    record Listed(List<WorkerEntry> workers) implements WorkerListing {}

    /**
     * The registrations could not be read.
     *
     * @param failure the failed step and the store's address
     */
    record Unavailable(Failure failure) implements WorkerListing {}
}
