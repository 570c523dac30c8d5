package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.model.Resources;

/** What placing reckons with of one worker, worked out once for many tasks and anew when one of them is placed there. */
final class WorkerView {

    private final WorkerState worker;

    private final Interference interference;

    private final Instant now;

    private Resources free;

    private long unusedCpu;

    private long idleServingCpu;

    private int servingTasks;

    private List<ServingSlack> slacks;

    WorkerView(WorkerState worker, Interference interference, Instant now) {
        this.worker = worker;
        this.interference = interference;
        this.now = now;
        refresh();
    }

    /** Works everything out anew. */
    void refresh() {
        free = worker.free();
        unusedCpu = free.milliCores() - worker.fillCpuMillis();
        idleServingCpu = Interference.idleServingCpu(worker);
        slacks = interference.slacks(worker, now);
        servingTasks = 0;
        for (Run run : worker.runs()) {
            servingTasks += run.task().step().spec().serving() ? 1 : 0;
        }
    }

    WorkerState worker() {
        return worker;
    }

    Resources free() {
        return free;
    }

    /** Returns the processor time that neither reservations nor the tasks that fill take. */
    long unusedCpu() {
        return unusedCpu;
    }

    /** Returns the processor time that serving tasks reserve and do not use on average. */
    long idleServingCpu() {
        return idleServingCpu;
    }

    boolean serves() {
        return servingTasks > 0;
    }

    /**
     * Rates how well a serving image fits beside those that serve there, from -1 to 1: best beside its own image only,
     * and worst on a worker where another image serves alone, since both would lose what can fill beside each.
     */
    double fitBeside(String image) {
        int same = 0;
        Set<String> images = new HashSet<>();
        for (Run run : worker.runs()) {
            StepSpec beside = run.task().step().spec();
            if (beside.serving()) {
                images.add(beside.imageName());
                same += beside.imageName().equals(image) ? 1 : 0;
            }
        }
        if (servingTasks == 0) {
            return 0;
        }
        return same > 0 ? (double) same / servingTasks : -1.0 / images.size();
    }

    /** Predicts the least slack of the serving tasks, with one more task beside them. */
    double predict(StepSpec addition) {
        double share = (double) addition.demand().milliCores()
                / worker.entry().capacity().milliCores();
        double least = Double.MAX_VALUE;
        for (ServingSlack slack : slacks) {
            least = Math.min(least, slack.beside(addition.imageName(), share));
        }
        return least;
    }
}
