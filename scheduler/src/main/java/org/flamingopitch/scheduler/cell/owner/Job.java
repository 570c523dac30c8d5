package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.TaskRef;

/** A job that the owner keeps. */
final class Job {

    /** After this many times its objective a job is worth nothing to its caller, says the platform's rule on credit. */
    static final int LATEST_OBJECTIVES = 3;

    private final JobId id;

    private final JobSpec spec;

    private final Instant submittedAt;

    private final long submittedMillis;

    private final List<List<Step>> occurrences = new ArrayList<>();

    private QueueSpec queue;

    private boolean definitionStored;

    private boolean started;

    private JobState terminal;

    private JobState durableTerminal;

    private Instant terminalAt;

    Job(JobId id, QueueSpec queue, JobSpec spec, Instant submittedAt, long submittedMillis) {
        this.id = id;
        this.queue = queue;
        this.spec = spec;
        this.submittedAt = submittedAt;
        this.submittedMillis = submittedMillis;
        for (int k = 0; k < (spec.steps().isEmpty() ? 0 : spec.occurrences()); k++) {
            List<Step> steps = new ArrayList<>();
            for (StepSpec step : spec.steps()) {
                steps.add(new Step(this, k, steps.size(), step));
            }
            occurrences.add(steps);
        }
    }

    JobId id() {
        return id;
    }

    QueueSpec queue() {
        return queue;
    }

    void reconfigure(QueueSpec next) {
        queue = next;
    }

    JobSpec spec() {
        return spec;
    }

    Instant submittedAt() {
        return submittedAt;
    }

    long submittedMillis() {
        return submittedMillis;
    }

    List<List<Step>> occurrences() {
        return occurrences;
    }

    Step step(int occurrence, int index) {
        return occurrences.get(occurrence).get(index);
    }

    /** Finds a task, or returns null if the job has none of that name. */
    Task task(TaskRef ref) {
        if (ref.occurrence() >= occurrences.size()) {
            return null;
        }
        List<Step> steps = occurrences.get(ref.occurrence());
        if (ref.step() >= steps.size()
                || ref.index() >= steps.get(ref.step()).tasks().size()) {
            return null;
        }
        return steps.get(ref.step()).tasks().get(ref.index());
    }

    long dueMillis(int occurrence) {
        return spec.timed() ? spec.firstDueMillis() + occurrence * spec.intervalMillis() : 0;
    }

    boolean definitionStored() {
        return definitionStored;
    }

    void markDefinitionStored() {
        definitionStored = true;
    }

    boolean started() {
        return started;
    }

    void markStarted() {
        started = true;
    }

    JobState terminal() {
        return terminal;
    }

    boolean open() {
        return terminal == null;
    }

    Instant terminalAt() {
        return terminalAt;
    }

    void end(JobState state, Instant now) {
        terminal = state;
        terminalAt = now;
    }

    void markTerminalDurable() {
        durableTerminal = terminal;
    }

    boolean terminalDurable() {
        return durableTerminal != null;
    }

    JobState visibleState() {
        if (durableTerminal != null) {
            return durableTerminal;
        }
        return started ? JobState.RUNNING : JobState.QUEUED;
    }

    boolean allDone() {
        return occurrences.stream().allMatch(steps -> steps.stream().allMatch(Step::done));
    }

    /** Returns by when the job should be done to be in time. */
    Instant objective() {
        long allowed = (long) (queue.stretch() * spec.longestChainMillis()) + queue.targetMillis();
        return submittedAt.plusMillis(allowed);
    }

    boolean anyRun() {
        return occurrences.stream()
                .flatMap(List::stream)
                .flatMap(step -> step.tasks().stream())
                .anyMatch(task -> task.run() != null);
    }
}
