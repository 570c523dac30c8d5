package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.StringJoiner;
import java.util.function.Function;

/** Counts for a task how many of the registered workers each {@link PlacementObstacle} excludes at one moment. */
final class PlacementObstacleCounter {

    private final PlacementPolicy placementPolicy;

    private final Instant now;

    private final PlacementPass pass;

    /** The workers that take no task at all. */
    private final Map<PlacementObstacle, Integer> unusable = new EnumMap<>(PlacementObstacle.class);

    /**
     * Creates a counter.
     *
     * @param workerObstacle returns what keeps all new tasks off a worker, or {@link PlacementObstacle#NONE}
     */
    PlacementObstacleCounter(
            PlacementPolicy placementPolicy,
            Collection<WorkerState> workers,
            Function<WorkerState, PlacementObstacle> workerObstacle,
            Instant now) {
        this.placementPolicy = placementPolicy;
        this.now = now;
        this.pass = placementPolicy.startPass(
                workers, worker -> workerObstacle.apply(worker) == PlacementObstacle.NONE, now);
        for (WorkerState worker : workers) {
            PlacementObstacle obstacle = workerObstacle.apply(worker);
            if (worker.registered() && obstacle != PlacementObstacle.NONE) {
                unusable.merge(obstacle, 1, Integer::sum);
            }
        }
    }

    /** Returns the numbers of workers as fields of a log line. */
    String fields(Task task) {
        Map<PlacementObstacle, Integer> counts = new EnumMap<>(unusable);
        for (PlacementCandidate candidate : pass.candidates()) {
            counts.merge(obstacle(task, candidate), 1, Integer::sum);
        }
        StringJoiner fields = new StringJoiner(" ");
        counts.forEach((obstacle, count) -> fields.add(obstacle.label() + "=" + count));
        return fields.toString();
    }

    private PlacementObstacle obstacle(Task task, PlacementCandidate candidate) {
        PlacementObstacle obstacle = placementPolicy.obstacle(task.step(), candidate);
        if (obstacle != PlacementObstacle.NONE) {
            return obstacle;
        }
        if (candidate.worker().reservedForOther(task, now)) {
            return PlacementObstacle.RESERVED;
        }
        return candidate.admits(task) ? PlacementObstacle.NONE : PlacementObstacle.ISOLATION;
    }
}
