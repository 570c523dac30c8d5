package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.scheduler.cell.admission.SizeClass;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.TaskRef;

/** A job in the memory of the cell's owner: its steps and tasks, and how much of its state is durable. */
final class Job {

    /** A job that takes longer than this many times its allowed time has no value, by the platform's scoring rule. */
    static final int MAX_LATENESS_FACTOR = 3;

    private final JobId id;

    private final JobSpec spec;

    /** When the job was submitted, on the clock of {@link org.flamingopitch.coordination.api.LoopContext#now()}. */
    private final Instant submittedAt;

    /** When the job was submitted, in milliseconds since 1970. */
    private final long submittedMillis;

    private final List<List<Step>> occurrences = new ArrayList<>();

    private QueueSpec queue;

    private boolean definitionStored;

    private boolean started;

    private JobState endState;

    private JobState durableEndState;

    private Instant endedAt;

    private SizeClass sizeClass = SizeClass.REGULAR;

    private boolean outcomeCounted;

    Job(JobId id, QueueSpec queue, JobSpec spec, Instant submittedAt, long submittedMillis) {
        this.id = id;
        this.queue = queue;
        this.spec = spec;
        this.submittedAt = submittedAt;
        this.submittedMillis = submittedMillis;
        for (int occurrence = 0; occurrence < (spec.steps().isEmpty() ? 0 : spec.occurrences()); occurrence++) {
            List<Step> steps = new ArrayList<>();
            for (StepSpec step : spec.steps()) {
                steps.add(new Step(this, occurrence, steps.size(), step));
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

    void updateQueue(QueueSpec next) {
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

    /** Returns a task, or null if the job has no task at that occurrence, step and index. */
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

    /** Returns when an occurrence may start, in milliseconds since 1970; 0 (at once) for a job without a schedule. */
    long scheduledStartMillis(int occurrence) {
        return spec.timed() ? spec.firstDueMillis() + occurrence * spec.intervalMillis() : 0;
    }

    /** Returns whether the job's {@link JobRecord} is durable. */
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

    /** Returns the state in which the job ended, or null while it is open. */
    JobState endState() {
        return endState;
    }

    boolean open() {
        return endState == null;
    }

    SizeClass sizeClass() {
        return sizeClass;
    }

    void setSizeClass(SizeClass newSizeClass) {
        sizeClass = newSizeClass;
    }

    /** Returns whether {@link JobShares} has counted the outcome of this job. */
    boolean outcomeCounted() {
        return outcomeCounted;
    }

    void markOutcomeCounted() {
        outcomeCounted = true;
    }

    Instant endedAt() {
        return endedAt;
    }

    void end(JobState state, Instant now) {
        endState = state;
        endedAt = now;
    }

    void markEndStateDurable() {
        durableEndState = endState;
    }

    boolean endStateDurable() {
        return durableEndState != null;
    }

    /** Returns the state to show to callers; an end is shown only once it is durable. */
    JobState visibleState() {
        if (durableEndState != null) {
            return durableEndState;
        }
        return started ? JobState.RUNNING : JobState.QUEUED;
    }

    boolean allDone() {
        return occurrences.stream().allMatch(steps -> steps.stream().allMatch(Step::done));
    }

    /** Returns when the job should have ended: its submission plus the time that its queue allows. */
    Instant objective() {
        long allowedMillis = (long) (queue.stretch() * spec.criticalPathMillis()) + queue.targetMillis();
        return submittedAt.plusMillis(allowedMillis);
    }

    /** Returns whether the job is so late that it has no value to its caller any more. */
    boolean expired(Instant now) {
        Duration allowed = Duration.between(submittedAt, objective());
        return !spec.longRunning()
                && !spec.timed()
                && now.isAfter(submittedAt.plus(allowed.multipliedBy(MAX_LATENESS_FACTOR)));
    }

    /** Returns whether a run of any task is open. */
    boolean hasOpenRun() {
        return occurrences.stream()
                .flatMap(List::stream)
                .flatMap(step -> step.tasks().stream())
                .anyMatch(task -> task.run() != null);
    }
}
