package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.TaskRef;

/** A step of one occurrence of an open job. */
final class Step {

    /** Single figures are rough; the load behind them takes seconds to swing. */
    private static final Duration SLACK_SMOOTHING = Duration.ofMillis(400);

    private final Job job;

    private final int occurrence;

    private final int index;

    private final StepSpec spec;

    private final List<Task> tasks = new ArrayList<>();

    private int doneCount;

    private double slackAlone;

    private Instant slackAt;

    Step(Job job, int occurrence, int index, StepSpec spec) {
        this.job = job;
        this.occurrence = occurrence;
        this.index = index;
        this.spec = spec;
        for (int i = 0; i < spec.count(); i++) {
            tasks.add(new Task(this, new TaskRef(job.id(), occurrence, index, i)));
        }
    }

    Job job() {
        return job;
    }

    int occurrence() {
        return occurrence;
    }

    int index() {
        return index;
    }

    StepSpec spec() {
        return spec;
    }

    List<Task> tasks() {
        return tasks;
    }

    void countDone() {
        doneCount++;
    }

    boolean done() {
        return doneCount >= tasks.size();
    }

    /** Tells whether a figure showed lately what slack its tasks have alone. */
    boolean slackAloneKnown(Duration validity, Instant now) {
        return slackAt != null && now.isBefore(slackAt.plus(validity));
    }

    /** Returns the slack of its tasks when nothing fills beside them. */
    double slackAlone() {
        return slackAlone;
    }

    /** Notes what one figure shows of the slack that its tasks would have alone. */
    void observeSlackAlone(double slack, Instant now) {
        double weight = 1;
        if (slackAt != null) {
            double passed = Duration.between(slackAt, now).toMillis();
            weight = 1 - Math.exp(-passed / SLACK_SMOOTHING.toMillis());
        }
        slackAlone += weight * (slack - slackAlone);
        slackAt = now;
    }

    int leftCount() {
        return Math.max(0, tasks.size() - doneCount);
    }

    /** Tells whether the steps before this one are done and its time has come. */
    boolean open(long timeOfDayMillis) {
        if (timeOfDayMillis < job.dueMillis(occurrence)) {
            return false;
        }
        for (int before : spec.after()) {
            if (!job.step(occurrence, before).done()) {
                return false;
            }
        }
        return true;
    }

    int runsOn(WorkerState worker) {
        int count = 0;
        for (Task task : tasks) {
            if (task.run() != null && task.run().worker() == worker) {
                count++;
            }
        }
        return count;
    }

    int waitingCount(Instant now) {
        int count = 0;
        for (Task task : tasks) {
            if (task.waiting(now)) {
                count++;
            }
        }
        return count;
    }
}
