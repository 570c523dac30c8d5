package org.flamingopitch.scheduler.cell.port;

import java.util.Set;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.scheduler.model.WorkerId;

/** The outcome of reading which workers the platform runs. */
public sealed interface LiveWorkerListing {

    /**
     * A complete listing.
     *
     * @param workers all workers that may run, reachable or not; the process of any other worker has ended
     */
    record Listed(Set<WorkerId> workers) implements LiveWorkerListing {}

    /**
     * The listing could not be read, or not completely; it proves nothing.
     *
     * @param failure the failed step and the platform's address
     */
    record Unavailable(Failure failure) implements LiveWorkerListing {}
}
