package org.flamingopitch.scheduler.cell;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingopitch.scheduler.cell.model.TaskRef;

/** Checks that no task runs on two workers at the same time, unless its step permits speculative copies. */
final class SecondRunCheck {

    private final Map<TaskRef, String> violations = new HashMap<>();

    void check(Collection<FakeWorker> workers, List<DrawnJob> jobs, Duration time) {
        Map<TaskRef, FakeWorker> first = new HashMap<>();
        for (FakeWorker worker : workers) {
            for (TaskRef task : worker.running()) {
                FakeWorker other = first.putIfAbsent(task, worker);
                DrawnJob job = jobs.get(Integer.parseInt(task.job().value(), 16));
                if (other != null && !job.step(task).speculative()) {
                    violations.putIfAbsent(
                            task, time.toMillis() + " ms: " + task + " on " + other.name() + " and " + worker.name());
                }
            }
        }
    }

    List<String> violations() {
        return new ArrayList<>(violations.values());
    }
}
