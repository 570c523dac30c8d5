package org.flamingopitch.scheduler.cell.owner;

import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import org.flamingopitch.scheduler.cell.model.ServiceName;

/** Determines whether so much of a service is reserved that a job may wait although it has nothing at work. */
final class ServiceLoad {

    /** The platform expects no start of an idle job from this share of the service's capacity in use on. */
    private static final double HIGH_SHARE = 0.5;

    private ServiceLoad() {}

    /**
     * Returns whether the reserved share is high of the usable workers, of those that answer and of all workers of the
     * service. The platform counts the workers that run, and neither a part of them that cannot be used for a moment nor
     * the runs on lost workers, which stay reserved until they are released, make the load of the service high.
     *
     * @param answering whether the last call to a worker was answered
     */
    static boolean high(ServiceName service, PlacementPass pass, Predicate<WorkerState> answering) {
        List<WorkerState> usable =
                pass.candidates().stream().map(PlacementCandidate::worker).toList();
        List<WorkerState> running = pass.workers().stream().filter(answering).toList();
        return high(service, usable) && high(service, running) && high(service, pass.workers());
    }

    private static boolean high(ServiceName service, Collection<WorkerState> workers) {
        long capacity = 0;
        long reserved = 0;
        for (WorkerState worker : workers) {
            if (worker.registered() && worker.entry().service().equals(service)) {
                capacity += worker.entry().capacity().milliCores();
                reserved += worker.reserved().milliCores();
            }
        }
        return reserved >= HIGH_SHARE * capacity;
    }
}
