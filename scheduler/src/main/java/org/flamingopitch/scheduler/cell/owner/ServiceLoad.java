package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.flamingopitch.scheduler.cell.model.ServiceName;
import org.flamingopitch.scheduler.cell.port.ServiceCores;

/** Determines whether so much of a service is in use that a job may wait although it has nothing at work. */
final class ServiceLoad {

    /** The platform expects no start of an idle job from this share of the service's capacity in use on. */
    private static final double HIGH_SHARE = 0.5;

    private ServiceLoad() {}

    /**
     * Returns whether the share in use is high of the usable workers, of those that answer and of all workers of the
     * service. The platform counts the workers that run, and neither a part of them that cannot be used for a moment nor
     * the runs on lost workers, which stay reserved until they are released, make the load of the service high. Nor do
     * reservations for runs that the workers have not got for long.
     *
     * @param answering whether the last call to a worker was answered
     */
    static boolean high(ServiceName service, PlacementPass pass, Predicate<WorkerState> answering, Instant now) {
        List<WorkerState> usable =
                pass.candidates().stream().map(PlacementCandidate::worker).toList();
        List<WorkerState> running = pass.workers().stream().filter(answering).toList();
        return high(service, usable, now) && high(service, running, now) && high(service, pass.workers(), now);
    }

    /** Returns the processor time of each service that has a registered worker, ordered by the service's name. */
    static Map<ServiceName, ServiceCores> cores(Collection<WorkerState> workers) {
        Map<ServiceName, ServiceCores> services = new TreeMap<>(Comparator.comparing(ServiceName::value));
        for (WorkerState worker : workers) {
            if (worker.registered()) {
                ServiceCores cores = new ServiceCores(
                        worker.entry().service(),
                        worker.entry().capacity().milliCores(),
                        worker.reserved().milliCores(),
                        worker.runningMilliCores());
                services.merge(cores.service(), cores, ServiceLoad::sum);
            }
        }
        return services;
    }

    private static ServiceCores sum(ServiceCores first, ServiceCores second) {
        return new ServiceCores(
                first.service(),
                first.total() + second.total(),
                first.reserved() + second.reserved(),
                first.running() + second.running());
    }

    private static boolean high(ServiceName service, Collection<WorkerState> workers, Instant now) {
        long capacity = 0;
        long inUse = 0;
        for (WorkerState worker : workers) {
            if (worker.registered() && worker.entry().service().equals(service)) {
                capacity += worker.entry().capacity().milliCores();
                inUse += inUseMilliCores(worker, now);
            }
        }
        return inUse >= HIGH_SHARE * capacity;
    }

    /**
     * Returns the processor time reserved by runs that the worker has or is about to have. A run that was placed a moment
     * ago counts, so that a service is not taken for free while its tasks restart.
     */
    private static long inUseMilliCores(WorkerState worker, Instant now) {
        long sum = 0;
        for (Run run : worker.runs()) {
            if (run.shownByWorker() || now.isBefore(run.placedAt().plus(IdleJob.NOTICEABLE_TIME))) {
                sum += run.task().step().spec().reserved().milliCores();
            }
        }
        return sum;
    }
}
