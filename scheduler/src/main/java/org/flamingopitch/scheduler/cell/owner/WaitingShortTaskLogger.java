package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.flamingopitch.scheduler.cell.model.QueueName;

/**
 * Logs short tasks that have waited for {@link #MIN_WAIT}: how many of each image, and for the one that waits longest
 * how many workers each {@link PlacementObstacle} excludes.
 */
final class WaitingShortTaskLogger {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final Duration LOG_INTERVAL = Duration.ofSeconds(2);

    private static final Duration MIN_WAIT = Duration.ofSeconds(1);

    private static final int MILLICORES_PER_CORE = 1_000;

    /** Bounds the log volume when many images wait. */
    private static final int MAX_LINES = 3;

    private final PlacementPolicy placementPolicy;

    private Instant lastLoggedAt = Instant.MIN;

    WaitingShortTaskLogger(PlacementPolicy placementPolicy) {
        this.placementPolicy = placementPolicy;
    }

    /**
     * Logs the images of which most tasks wait, if the interval has passed.
     *
     * @param workerObstacle returns what keeps all new tasks off a worker, or {@link PlacementObstacle#NONE}
     */
    void logIfDue(
            Collection<Job> jobs,
            Collection<WorkerState> workers,
            Function<WorkerState, PlacementObstacle> workerObstacle,
            long timeOfDayMillis,
            Instant now) {
        if (now.isBefore(lastLoggedAt.plus(LOG_INTERVAL))) {
            return;
        }
        lastLoggedAt = now;
        Map<Kind, List<Task>> waiting = new HashMap<>();
        for (Job job : jobs) {
            if (job.open() && !job.spec().longRunning()) {
                addWaiting(job, waiting, timeOfDayMillis, now);
            }
        }
        if (waiting.isEmpty()) {
            return;
        }
        List<Map.Entry<Kind, List<Task>>> kinds = new ArrayList<>(waiting.entrySet());
        kinds.sort(Comparator.comparingInt(
                        (Map.Entry<Kind, List<Task>> kind) -> -kind.getValue().size())
                .thenComparing(kind -> kind.getKey().toString()));
        PlacementObstacleCounter obstacles =
                new PlacementObstacleCounter(placementPolicy, workers, workerObstacle, now);
        kinds.stream().limit(MAX_LINES).forEach(kind -> log(kind.getKey(), kind.getValue(), obstacles, now));
    }

    private static void addWaiting(Job job, Map<Kind, List<Task>> waiting, long timeOfDayMillis, Instant now) {
        for (List<Step> steps : job.occurrences()) {
            for (Step step : steps) {
                if (step.done() || !step.ready(timeOfDayMillis)) {
                    continue;
                }
                Kind kind = new Kind(job.queue().name(), step.spec().imageName());
                for (Task task : step.tasks()) {
                    if (task.waiting(now) && !now.isBefore(task.waitingSince().plus(MIN_WAIT))) {
                        waiting.computeIfAbsent(kind, key -> new ArrayList<>()).add(task);
                    }
                }
            }
        }
    }

    private static void log(Kind kind, List<Task> tasks, PlacementObstacleCounter obstacles, Instant now) {
        Task longest =
                tasks.stream().min(Comparator.comparing(Task::waitingSince)).orElseThrow();
        LOGGER.atInfo().log(
                "event=short_tasks_wait queue=%s image=%s waiting=%d cores=%d task=%s waited_ms=%d %s",
                kind.queue(),
                kind.image(),
                tasks.size(),
                tasks.stream()
                                .mapToLong(task -> task.step().spec().demand().milliCores())
                                .sum()
                        / MILLICORES_PER_CORE,
                longest.ref(),
                Duration.between(longest.waitingSince(), now).toMillis(),
                obstacles.fields(longest));
    }

    /**
     * Tasks that are placed alike.
     *
     * @param queue the queue
     * @param image the image
     */
    private record Kind(QueueName queue, String image) {}
}
