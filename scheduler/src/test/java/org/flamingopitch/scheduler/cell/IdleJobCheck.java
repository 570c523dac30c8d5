package org.flamingopitch.scheduler.cell;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.flamingopitch.scheduler.model.Resources;

/**
 * Checks that no open job has nothing running for 3 s while a task's turn has come, two workers or more have capacity
 * for it and permit it, and less than half of the capacity is reserved. It sees only the workers and the answers to
 * callers.
 */
final class IdleJobCheck {

    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(3);

    private static final int MIN_WORKERS_WITH_CAPACITY = 2;

    private final List<String> violations = new ArrayList<>();

    /** The time for which a job was judged, summed over all jobs, while it had nothing running. */
    private Duration judgedIdleTime = Duration.ZERO;

    /** Checks a moment; the moments must follow each other by the given time. */
    void check(CellSession session, Collection<FakeWorker> workers, List<DrawnJob> jobs, Duration time, Duration step) {
        List<FakeWorker> live = workers.stream()
                .filter(worker -> !worker.crashed() && worker.listed())
                .toList();
        long capacity = 0;
        long reserved = 0;
        long demanded = 0;
        for (FakeWorker worker : live) {
            long own = reserved(worker, jobs).milliCores();
            capacity += worker.entry().capacity().milliCores();
            reserved += own;
            demanded += Math.min(worker.entry().capacity().milliCores(), own + bestEffortDemand(worker, jobs));
        }
        boolean loaded = 2 * reserved >= capacity;
        for (DrawnJob job : jobs) {
            boolean idle = !loaded
                    && job.accepted()
                    && !job.cancelled()
                    && !job.disturbedAt(time)
                    && !job.endsAwaitAcknowledgement()
                    && session.running(job.id()).isEmpty()
                    && job.dueSteps().stream().anyMatch(due -> hasCapacity(live, due, jobs));
            if (!idle) {
                job.endIdleTime();
                continue;
            }
            job.addIdleTime(step);
            judgedIdleTime = judgedIdleTime.plus(step);
            judge(session, job, time, "reserved=" + reserved + " demanded=" + demanded + " of=" + capacity);
        }
    }

    private void judge(CellSession session, DrawnJob job, Duration time, String load) {
        if (job.idleFor().compareTo(MAX_IDLE_TIME) < 0) {
            return;
        }
        if (job.stateAnswers() == null) {
            job.setStateAnswers(session.call("h1", new CallerOperation.Ask(), job.path()));
            return;
        }
        boolean open = job.stateAnswers().stream()
                .anyMatch(reply -> reply instanceof CallerReply.State shown
                        && !shown.state().terminal());
        boolean first = violations.stream().noneMatch(violation -> violation.contains(job.id()));
        if (open && first) {
            violations.add(time.toMillis() + " ms: idle for " + job.idleFor().toMillis() + " ms, " + load + ", due "
                    + job.dueSteps().size() + ": " + job);
        }
    }

    private static boolean hasCapacity(List<FakeWorker> live, StepSpec step, List<DrawnJob> jobs) {
        return live.stream()
                        .filter(worker -> !worker.entry().draining())
                        .filter(worker -> step.requiredLabel() == null
                                || worker.entry().labels().contains(step.requiredLabel()))
                        .filter(worker ->
                                step.demand().fitsInto(worker.entry().capacity().minus(reserved(worker, jobs))))
                        .count()
                >= MIN_WORKERS_WITH_CAPACITY;
    }

    private static Resources reserved(FakeWorker worker, List<DrawnJob> jobs) {
        Resources sum = Resources.NONE;
        for (TaskRef task : worker.running()) {
            sum = sum.plus(step(task, jobs).reserved());
        }
        return sum;
    }

    private static long bestEffortDemand(FakeWorker worker, List<DrawnJob> jobs) {
        return worker.running().stream()
                .map(task -> step(task, jobs))
                .filter(StepSpec::fills)
                .mapToLong(step -> step.demand().milliCores())
                .sum();
    }

    private static StepSpec step(TaskRef task, List<DrawnJob> jobs) {
        return jobs.get(Integer.parseInt(task.job().value(), 16)).step(task);
    }

    List<String> violations() {
        return violations;
    }

    Duration judgedIdleTime() {
        return judgedIdleTime;
    }
}
