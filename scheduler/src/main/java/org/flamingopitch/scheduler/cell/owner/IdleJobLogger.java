package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import org.flamingopitch.scheduler.cell.model.ServiceName;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.port.OwnerMetrics;
import org.flamingopitch.scheduler.cell.port.ServiceCores;

/**
 * Logs jobs that have been idle for {@link IdleJob#NOTICEABLE_TIME}: what their task needs, and how many workers each {@link
 * PlacementObstacle} excludes. Measures the longest idle time, and how much of each service is
 * reserved and in use.
 */
final class IdleJobLogger {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final Duration LOG_INTERVAL = Duration.ofSeconds(2);

    /** Bounds the log volume when many jobs are idle. */
    private static final int MAX_LINES = 3;

    private static final int MILLICORES_PER_CORE = 1_000;

    private final PlacementPolicy placementPolicy;

    private final OwnerMetrics metrics;

    /**
     * The start of this ownership; when runs of a former owner ended is not known. Since a run is recorded before it is
     * started, a job without a recorded run has been idle from its submission on.
     */
    private final Instant observedSince;

    private Instant lastLoggedAt = Instant.MIN;

    IdleJobLogger(PlacementPolicy placementPolicy, OwnerMetrics metrics, Instant observedSince) {
        this.placementPolicy = placementPolicy;
        this.metrics = metrics;
        this.observedSince = observedSince;
    }

    /**
     * Logs the jobs that have been idle longest, if the interval has passed.
     *
     * @param workerObstacle returns what keeps all new tasks off a worker, or {@link PlacementObstacle#NONE}
     * @param answering whether the last call to a worker was answered
     * @param mayPlace whether this process may place and start tasks at the moment
     */
    void logIfDue(
            Collection<Job> jobs,
            Collection<WorkerState> workers,
            Function<WorkerState, PlacementObstacle> workerObstacle,
            Predicate<WorkerState> answering,
            boolean mayPlace,
            long timeOfDayMillis,
            Instant now) {
        if (now.isBefore(lastLoggedAt.plus(LOG_INTERVAL))) {
            return;
        }
        lastLoggedAt = now;
        List<IdleJob> idleJobs = new ArrayList<>();
        for (Job job : jobs) {
            Instant knownSince = job.startedByFormerOwner() ? observedSince : Instant.MIN;
            IdleJob idle = job.open() ? IdleJob.of(job, answering, knownSince, timeOfDayMillis, now) : null;
            if (idle != null && idle.noticeable()) {
                idleJobs.add(idle);
            }
        }
        idleJobs.sort(Comparator.comparing(IdleJob::time).reversed());
        Map<ServiceName, ServiceCores> services = ServiceLoad.cores(workers);
        metrics.recordServiceCores(List.copyOf(services.values()));
        metrics.recordLongestIdleTime(
                idleJobs.isEmpty() ? Duration.ZERO : idleJobs.get(0).time());
        if (idleJobs.isEmpty()) {
            return;
        }
        PlacementObstacleCounter obstacles =
                new PlacementObstacleCounter(placementPolicy, workers, workerObstacle, now);
        for (IdleJob idle : idleJobs.subList(0, Math.min(MAX_LINES, idleJobs.size()))) {
            ServiceName service = idle.task().job().queue().service();
            ServiceCores cores = services.getOrDefault(service, new ServiceCores(service, 0, 0, 0));
            log(idle, idleJobs.size(), cores, mayPlace, obstacles, now);
        }
    }

    private static void log(
            IdleJob idle,
            int idleJobs,
            ServiceCores cores,
            boolean mayPlace,
            PlacementObstacleCounter obstacles,
            Instant now) {
        Job job = idle.task().job();
        StepSpec step = idle.task().step().spec();
        LOGGER.atInfo().log(
                "event=job_idle job=%s task=%s idle_ms=%d idle_jobs=%d state=%s kind=%s cores=%.1f memory=%d "
                        + "accelerators=%d label=%s width=%d reserved_cores=%d running_cores=%d cores_total=%d expired=%s placing=%s%s %s",
                job.id(),
                idle.task().ref(),
                idle.time().toMillis(),
                idleJobs,
                idle.state(now),
                kind(step),
                (double) step.demand().milliCores() / MILLICORES_PER_CORE,
                step.demand().memoryMegabytes(),
                step.demand().accelerators(),
                step.requiredLabel() == null ? "none" : step.requiredLabel(),
                step.count(),
                cores.reserved() / MILLICORES_PER_CORE,
                cores.running() / MILLICORES_PER_CORE,
                cores.total() / MILLICORES_PER_CORE,
                job.expired(now),
                mayPlace,
                idle.runFields(),
                obstacles.fields(idle.task()));
    }

    private static String kind(StepSpec step) {
        if (step.lasting()) {
            return "long_running";
        }
        return step.fills() ? "best_effort" : "short";
    }
}
