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
final class WorkerView {

    private final WorkerState worker;

    private final Interference interference;

    private final Instant now;

    private Resources free;

    private long unusedMilliCores;

    private long idleLatencyCriticalMilliCores;

    private int latencyCriticalTasks;

    private List<ServingSlack> headrooms;

    WorkerView(WorkerState worker, Interference interference, Instant now) {
        this.worker = worker;
        this.interference = interference;
        this.now = now;
        refresh();
    }

    /** Recalculates the cached figures. */
    void refresh() {
        free = worker.free();
        unusedMilliCores = free.milliCores() - worker.fillCpuMillis();
        idleLatencyCriticalMilliCores = Interference.idleServingCpu(worker);
        headrooms = interference.slacks(worker, now);
        latencyCriticalTasks = 0;
        for (Run run : worker.runs()) {
            latencyCriticalTasks += run.task().step().spec().serving() ? 1 : 0;
        }
    }

    WorkerState worker() {
        return worker;
    }

    Resources free() {
        return free;
    }

    /**
     * Returns the processor time that is neither reserved nor demanded by best-effort tasks, in thousandths of a core.
     */
    long unusedCpu() {
        return unusedMilliCores;
    }

    /**
     * Returns the processor time that latency-critical tasks reserve but do not use on average, in thousandths of a
     * core.
     */
    long idleServingCpu() {
        return idleLatencyCriticalMilliCores;
    }

    /** Returns whether a latency-critical task runs on the worker. */
    boolean serves() {
        return latencyCriticalTasks > 0;
    }

    /**
     * Rates the worker for a latency-critical image: 1 if all latency-critical tasks there run the same image, 0
     * without any, and -1 if all of them run one other image. Mixed images leave only those best-effort tasks that
     * interfere with none of them.
     */
    double fitBeside(String image) {
        int sameImage = 0;
        Set<String> images = new HashSet<>();
        for (Run run : worker.runs()) {
            StepSpec neighbour = run.task().step().spec();
            if (neighbour.serving()) {
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
    double predict(StepSpec addition) {
        double share = (double) addition.demand().milliCores()
                / worker.entry().capacity().milliCores();
        double lowest = Double.MAX_VALUE;
        for (ServingSlack headroom : headrooms) {
            lowest = Math.min(lowest, headroom.beside(addition.imageName(), share));
        }
        return lowest;
    }
}
