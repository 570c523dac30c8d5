package org.flamingopitch.scheduler.cell.port;

import java.util.Optional;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.scheduler.cell.feature.FeatureGates;

/**
 * The services that a cell's owner uses inside the single-writer loop, in which one thread processes all events; every
 * callback runs in that loop.
 */
public interface CellContext extends LoopContext {

    /**
     * Returns the time of day, for example for the due times of jobs that run at set times. It may jump, so time limits
     * inside the process are measured with {@link #now()} instead.
     *
     * @return milliseconds since the epoch
     */
    long timeOfDayMillis();

    /**
     * Sends an order to a worker.
     *
     * @param target the worker
     * @param order the order
     * @param handler receives the answer exactly once
     */
    void callWorker(WorkerTarget target, WorkerOrder order, Consumer<WorkerAnswer> handler);

    /**
     * Reads the registrations of all workers.
     *
     * @param handler receives the registrations, or a failure, exactly once
     */
    void listWorkers(Consumer<WorkerListing> handler);

    /**
     * Returns the platform's knowledge of which workers it runs.
     *
     * @return the source, or empty if this platform has none, as by default
     */
    default Optional<LiveWorkerSource> liveWorkers() {
        return Optional.empty();
    }

    /**
     * Returns where the newest configuration can be read.
     *
     * @return the source, or empty if this platform has none, as by default
     */
    default Optional<ConfigurationSource> configurationSource() {
        return Optional.empty();
    }

    /**
     * Returns which decision mechanisms are on.
     *
     * @return the gates; by default all are on
     */
    default FeatureGates gates() {
        return FeatureGates.ALL_ON;
    }

    /**
     * Returns the receiver of what is measured of the owner's decisions.
     *
     * @return the receiver; by default one that discards everything
     */
    default OwnerMetrics metrics() {
        return OwnerMetrics.NONE;
    }
}
