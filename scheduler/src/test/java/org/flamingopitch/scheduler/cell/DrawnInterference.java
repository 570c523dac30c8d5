package org.flamingopitch.scheduler.cell;

import java.time.Duration;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.TaskRef;

/** How much best-effort tasks raise the response times of the latency-critical tasks beside them in a drawn session. */
final class DrawnInterference {

    private final DrawnPlan plan;

    private final double loadSwing;

    /**
     * Creates the interference of a plan's images.
     *
     * @param loadSwing by how much the headroom of latency-critical tasks varies with the time
     */
    DrawnInterference(DrawnPlan plan, double loadSwing) {
        this.plan = plan;
        this.loadSwing = loadSwing;
    }

    /** Returns the response time that a worker reports of a task at a time. */
    double measurement(FakeWorker worker, TaskRef task, Duration time) {
        if (!step(task).latencyCritical()) {
            return 1;
        }
        double swing = loadSwing * Math.sin(time.toMillis() / 3_000.0);
        double headroom = plan.baseline(step(task).imageName()) + swing;
        for (TaskRef other : worker.running()) {
            if (step(other).fills()) {
                double share = (double) step(other).demand().milliCores()
                        / worker.entry().capacity().milliCores();
                headroom -= share * plan.cost(step(other).imageName()) * worker.speed(other) / 100;
            }
        }
        return step(task).targetMillis() / Math.max(0.2, headroom);
    }

    private StepSpec step(TaskRef task) {
        return plan.jobs().get(Integer.parseInt(task.job().value(), 16)).step(task);
    }
}
