package org.flamingopitch.scheduler.cell.port;

import java.util.function.Consumer;

/** The platform's knowledge of which workers it runs, which does not depend on whether they can be reached. */
@FunctionalInterface
public interface LiveWorkerSource {

    /**
     * Reads which workers the platform runs.
     *
     * @param handler receives the listing, or a failure, exactly once
     */
    void list(Consumer<LiveWorkerListing> handler);
}
