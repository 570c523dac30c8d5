package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.model.Resources;

/**
 * A worker as a candidate for placement: caches the figures that rate it for tasks, and is refreshed when a task is
 * placed on it.
 */
final class PlacementCandidate {

    private final WorkerState worker;

    private final InterferenceEstimator interference;

    /** Whether the worker is a last resort, for long-running tasks and one short task at a time. */
    private final boolean quarantined;

    /** Whether tasks of open jobs prefer the worker's rack. */
    private final boolean inPreferredRack;

    private final Instant now;

    private Resources free;

    private long unusedMilliCores;

    private long idleLatencyCriticalMilliCores;

    private int latencyCriticalTasks;

    private boolean hasUnprovenRuns;

    private boolean hasSuspects;

    private boolean hasIsolatedRun;

    private boolean hasShortRun;

    private List<LatencyHeadroom> headrooms;

    PlacementCandidate(WorkerState worker, InterferenceEstimator interference, boolean quarantined, Instant now) {
        this(worker, interference, quarantined, Set.of(), now);
    }

    PlacementCandidate(
            WorkerState worker,
            InterferenceEstimator interference,
            boolean quarantined,
            Set<String> preferredRacks,
            Instant now) {
        this.inPreferredRack = worker.entry().labels().stream().anyMatch(preferredRacks::contains);
        this.worker = worker;
        this.interference = interference;
        this.quarantined = quarantined;
        this.now = now;
        refresh();
    }

    /** Recalculates the cached figures. */
    void refresh() {
        free = worker.free();
        unusedMilliCores = free.milliCores() - worker.bestEffortMilliCores();
        idleLatencyCriticalMilliCores = InterferenceEstimator.idleLatencyCriticalMilliCores(worker);
        headrooms = interference.estimateHeadrooms(worker, now);
        latencyCriticalTasks = 0;
        hasUnprovenRuns = false;
        hasSuspects = false;
        hasIsolatedRun = false;
        hasShortRun = false;
        for (Run run : worker.runs()) {
            latencyCriticalTasks += run.task().step().spec().latencyCritical() ? 1 : 0;
            hasUnprovenRuns |= !run.proven();
            hasSuspects |= run.task().suspect();
            hasIsolatedRun |= run.task().needsIsolation();
            hasShortRun |= !run.task().step().spec().lasting();
        }
    }

    /**
     * Returns whether the task may be placed beside the runs there: one that needs isolation only beside proven runs, and
     * none beside one that needs it.
     */
    boolean admits(Task task) {
        return !hasIsolatedRun && !(task.needsIsolation() && hasUnprovenRuns);
    }

    /** Returns whether the task or one there may crash the worker, and others there with it. */
    boolean endangers(Task task) {
        return hasSuspects || task.suspect() && hasUnprovenRuns;
    }

    /** Returns whether tasks of other steps prefer the worker's rack, and those of the step do not. */
    boolean preferredByOthers(Step step) {
        if (!inPreferredRack) {
            return false;
        }
        Set<String> labels = worker.entry().labels();
        boolean ownRack = step.spec().preferredRack() != null
                && labels.contains(step.spec().preferredRack());
        boolean ownGroupRack =
                step.groupRack() != null && labels.contains(step.groupRack().rack());
        return !ownRack && !ownGroupRack;
    }

    int runCount() {
        return worker.runs().size();
    }

    WorkerState worker() {
        return worker;
    }

    boolean quarantined() {
        return quarantined;
    }

    /** Returns whether the worker is in quarantine and has its one short task. */
    boolean onTrial() {
        return quarantined && hasShortRun;
    }

    Resources free() {
        return free;
    }

    /**
     * Returns the processor time that is neither reserved nor demanded by best-effort tasks, in millicores.
     */
    long unusedMilliCores() {
        return unusedMilliCores;
    }

    /**
     * Returns the processor time that latency-critical tasks reserve but do not use on average, in millicores.
     */
    long idleLatencyCriticalMilliCores() {
        return idleLatencyCriticalMilliCores;
    }

    /** Returns whether a latency-critical task runs on the worker. */
    boolean hasLatencyCriticalTasks() {
        return latencyCriticalTasks > 0;
    }

    /**
     * Rates the worker for a latency-critical image: the share of the latency-critical tasks there that run this image;
     * if none does, -1 divided by the number of their images; 0 without latency-critical tasks. Tasks of one image are
     * kept together because beside several images only best-effort tasks that interfere with none of them can run.
     */
    double colocationScore(String image) {
        int sameImage = 0;
        Set<String> images = new HashSet<>();
        for (Run run : worker.runs()) {
            StepSpec neighbour = run.task().step().spec();
            if (neighbour.latencyCritical()) {
                images.add(neighbour.imageName());
                sameImage += neighbour.imageName().equals(image) ? 1 : 0;
            }
        }
        if (latencyCriticalTasks == 0) {
            return 0;
        }
        return sameImage > 0 ? (double) sameImage / latencyCriticalTasks : -1.0 / images.size();
    }

    /**
     * Predicts the lowest headroom ratio (response time target divided by the measured tail) of the latency-critical
     * tasks there with one more best-effort task.
     */
    double predictHeadroom(StepSpec addition) {
        return predictHeadroom(addition, ThrottleController.FULL_SPEED_PERCENT);
    }

    /** Predicts the same with a best-effort task that is throttled to a share of its demand. */
    double predictHeadroom(StepSpec addition, int percent) {
        double share = (double) addition.demand().milliCores()
                / worker.entry().capacity().milliCores()
                * percent
                / ThrottleController.FULL_SPEED_PERCENT;
        double lowest = Double.MAX_VALUE;
        for (LatencyHeadroom headroom : headrooms) {
            lowest = Math.min(lowest, headroom.withBestEffortTask(addition.imageName(), share));
        }
        return lowest;
    }
}
