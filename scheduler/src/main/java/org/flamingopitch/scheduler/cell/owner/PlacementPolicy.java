package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.flamingopitch.scheduler.cell.feature.FeatureGate;
import org.flamingopitch.scheduler.cell.feature.FeatureGates;
import org.flamingopitch.scheduler.cell.model.StepSpec;

/**
 * Scores workers for a task by the resources that are reserved on them, not by estimated durations. Long-running tasks
 * are packed tightly. Latency-critical tasks (those with a response time target) go beside others of their image:
 * interference depends on the pair of images, so that best-effort tasks (those that use only processor time that others
 * leave) still find workers without latency-critical tasks or with images that they do not slow. Short tasks go into
 * the smallest gap, which leaves larger gaps for larger tasks. Best-effort tasks go where most processor time is
 * unused.
 */
final class PlacementPolicy {

    /** Score of a worker on which the task must not run. */
    static final double NOT_PERMITTED = Double.NEGATIVE_INFINITY;

    /** Exceeds any difference in processor time: a worker with this penalty is used only if there is no other. */
    static final double LAST_RESORT_PENALTY = 1e9;

    /** A worker whose tasks take more than this many times the expected duration gets a penalty. */
    private static final double SLOW_WORKER_RATIO = 2.5;

    /** Deducted for each run beside a task that may crash the worker; exceeds differences in free capacity. */
    private static final double SUSPECT_NEIGHBOUR_PENALTY = 1e6;

    /** Exceeds the largest score difference that comes from packing long-running tasks. */
    private static final double SAME_IMAGE_WEIGHT = 1e6;

    /**
     * Share of the workers that is kept free of latency-critical tasks while others have capacity, for tasks with a
     * large demand and for best-effort tasks that interfere much.
     */
    private static final double RESERVED_WORKER_SHARE = 0.1;

    /**
     * Headroom ratio required in addition to the one that throttling keeps, since the load of latency-critical tasks
     * may rise while a best-effort task runs beside them.
     */
    private static final double HEADROOM_RESERVE = 0.25;

    private final WorkerHealth health;

    private final InterferenceEstimator interference;

    private final FeatureGates gates;

    PlacementPolicy(WorkerHealth health, InterferenceEstimator interference) {
        this(health, interference, FeatureGates.ALL_ON);
    }

    PlacementPolicy(WorkerHealth health, InterferenceEstimator interference, FeatureGates gates) {
        this.gates = gates;
        this.health = health;
        this.interference = interference;
    }

    /** Starts a pass that places waiting tasks on the usable workers. */
    PlacementPass startPass(Collection<WorkerState> workers, Predicate<WorkerState> usable, Instant now) {
        return startPass(workers, usable, Set.of(), now);
    }

    /**
     * Starts a pass that places waiting tasks on the usable workers.
     *
     * @param preferredRacks the racks whose workers tasks without a preference for them use last
     */
    PlacementPass startPass(
            Collection<WorkerState> workers, Predicate<WorkerState> usable, Set<String> preferredRacks, Instant now) {
        return new PlacementPass(this, interference, workers, usable, preferredRacks, now);
    }

    /** Returns whether a worker is in quarantine. */
    boolean quarantined(WorkerState worker, Instant now) {
        return health.quarantined(worker.id(), now);
    }

    /**
     * Returns whether the step's service, label and limit of tasks per worker permit one of its tasks on the worker,
     * regardless of free capacity.
     */
    boolean permits(Step step, WorkerState worker) {
        StepSpec spec = step.spec();
        boolean serviceMatches =
                worker.entry().service().equals(step.job().queue().service());
        boolean labelMatches =
                spec.requiredLabel() == null || worker.entry().labels().contains(spec.requiredLabel());
        boolean belowMaxPerWorker = spec.maxPerWorker() == 0 || step.countRunsOn(worker) < spec.maxPerWorker();
        return serviceMatches && labelMatches && belowMaxPerWorker;
    }

    /** Returns whether at most {@link #RESERVED_WORKER_SHARE} of the workers are free of latency-critical tasks. */
    boolean reserveExhausted(List<PlacementCandidate> candidates) {
        if (!gates.on(FeatureGate.RESERVED_WORKERS)) {
            return false;
        }
        long workersWithoutLatencyCritical = candidates.stream()
                .filter(candidate -> !candidate.hasLatencyCriticalTasks())
                .count();
        return workersWithoutLatencyCritical <= candidates.size() * RESERVED_WORKER_SHARE;
    }

    /** Returns the score of a worker for the tasks of a step; higher is better. */
    double score(Step step, PlacementCandidate candidate, boolean reserveExhausted) {
        StepSpec spec = step.spec();
        double headroom = spec.fills() ? candidate.predictHeadroom(spec) : Double.MAX_VALUE;
        if (obstacle(step, candidate, headroom) != PlacementObstacle.NONE) {
            return NOT_PERMITTED;
        }
        double score = -candidate.free().milliCores();
        if (spec.fills()) {
            score = candidate.unusedMilliCores()
                    - (candidate.hasLatencyCriticalTasks() ? LAST_RESORT_PENALTY / 100 / (1 + headroom) : 0);
        }
        if (spec.latencyCritical()) {
            score += gates.on(FeatureGate.IMAGE_GROUPING)
                    ? SAME_IMAGE_WEIGHT * candidate.colocationScore(spec.imageName())
                    : 0;
            score -= reserveExhausted && !candidate.hasLatencyCriticalTasks() ? 2 * SAME_IMAGE_WEIGHT : 0;
        }
        return score - penalty(step, candidate);
    }

    /** Returns what is deducted from a worker's score because of the task's earlier runs. */
    static double penalty(Task task, PlacementCandidate candidate) {
        double penalty = task.avoids(candidate.worker().id()) ? LAST_RESORT_PENALTY : 0;
        if (task.run() != null && sharesLabels(task.run().worker(), candidate.worker())) {
            // A copy goes to another rack, unless the step's tasks belong on one rack.
            penalty += LAST_RESORT_PENALTY / 40;
        }
        if (candidate.endangers(task)) {
            penalty += LAST_RESORT_PENALTY / 2;
        }
        if (task.suspect()) {
            penalty += candidate.hasLatencyCriticalTasks() ? LAST_RESORT_PENALTY / 4 : 0;
            penalty += candidate.runCount() * SUSPECT_NEIGHBOUR_PENALTY;
        }
        return penalty;
    }

    private static boolean sharesLabels(WorkerState worker, WorkerState other) {
        return worker.registered()
                && worker.entry().labels().equals(other.entry().labels());
    }

    private double penalty(Step step, PlacementCandidate candidate) {
        WorkerState worker = candidate.worker();
        StepSpec spec = step.spec();
        double penalty = 0;
        if (spec.preferredRack() != null && !worker.entry().labels().contains(spec.preferredRack())) {
            penalty += LAST_RESORT_PENALTY / 10;
        }
        if (health.slowdown(worker.id()) > SLOW_WORKER_RATIO) {
            penalty += LAST_RESORT_PENALTY / 10;
        }
        if (candidate.quarantined() || worker.entry().warmUpRemainingMillis() > 0) {
            penalty += LAST_RESORT_PENALTY;
        }
        boolean outsideGroupRack = spec.sameRack()
                && step.groupRack() != null
                && !worker.entry().labels().contains(step.groupRack().rack());
        boolean takesPreferredWorker = candidate.preferredByOthers(step) && !spec.lasting() && !spec.fills();
        if (takesPreferredWorker) {
            penalty += LAST_RESORT_PENALTY / 100;
        }
        if (outsideGroupRack) {
            penalty += LAST_RESORT_PENALTY / 20;
        }
        return penalty;
    }

    /** Returns what keeps the tasks of a step off a usable worker. */
    PlacementObstacle obstacle(Step step, PlacementCandidate candidate) {
        return obstacle(step, candidate, step.spec().fills() ? candidate.predictHeadroom(step.spec()) : 0);
    }

    private PlacementObstacle obstacle(Step step, PlacementCandidate candidate, double headroom) {
        StepSpec spec = step.spec();
        if (!spec.reserved().fitsInto(candidate.free())) {
            return PlacementObstacle.CAPACITY;
        }
        if (!permits(step, candidate.worker())) {
            return PlacementObstacle.NOT_PERMITTED;
        }
        if (candidate.onTrial() && !spec.lasting()) {
            return PlacementObstacle.TRIAL;
        }
        return spec.fills() ? bestEffortObstacle(spec, candidate, headroom) : PlacementObstacle.NONE;
    }

    private static PlacementObstacle bestEffortObstacle(StepSpec spec, PlacementCandidate candidate, double headroom) {
        long neededMilliCores = Math.min(
                spec.demand().milliCores(),
                candidate.worker().entry().capacity().milliCores());
        if (candidate.unusedMilliCores() + candidate.idleLatencyCriticalMilliCores() < neededMilliCores) {
            return PlacementObstacle.PROCESSOR_TIME;
        }
        if (headroom >= ThrottleController.TARGET_HEADROOM + HEADROOM_RESERVE) {
            return PlacementObstacle.NONE;
        }
        return headroom == 0 ? PlacementObstacle.UNKNOWN_INTERFERENCE : PlacementObstacle.HEADROOM;
    }
}
