package org.flamingopitch.scheduler.cell;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.flamingopitch.scheduler.cell.model.TaskRef;

/** The work that the runs of a drawn session have done; a run ends once its work is done. */
final class DrawnProgress {

    private final List<DrawnJob> jobs;

    private final SplittableRandom random;

    /** The work done by each run, in thousandths of a second at full speed. */
    private final Map<FakeWorker, Map<TaskRef, Double>> progress = new HashMap<>();

    /**
     * Creates the progress of runs that have done nothing yet.
     *
     * @param random decides which runs fail
     */
    DrawnProgress(List<DrawnJob> jobs, SplittableRandom random) {
        this.jobs = jobs;
        this.random = random;
    }

    private DrawnJob job(TaskRef task) {
        return jobs.get(Integer.parseInt(task.job().value(), 16));
    }

    double percent(FakeWorker worker, TaskRef task) {
        double done = progress.getOrDefault(worker, Map.of()).getOrDefault(task, 0.0);
        return job(task).step(task).lasting()
                ? 100
                : Math.min(99, 100 * done / job(task).work().toMillis());
    }

    void work(FakeWorker worker, Duration time) {
        Map<TaskRef, Double> done = progress.computeIfAbsent(worker, key -> new HashMap<>());
        done.keySet().retainAll(worker.running());
        for (TaskRef task : worker.running()) {
            DrawnJob job = job(task);
            if (job.step(task).lasting()) {
                continue;
            }
            double sum = done.merge(task, time.toMillis() * worker.speed(task) / 100.0, Double::sum);
            if (sum >= job.work().toMillis()) {
                job.endRun(task, worker, random.nextInt(4) == 0);
            }
        }
    }

    void forget(FakeWorker worker) {
        progress.remove(worker);
    }
}
