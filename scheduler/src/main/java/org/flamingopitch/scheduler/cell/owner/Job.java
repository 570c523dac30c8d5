package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
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

    /** The number of tasks in a part of the stored progress; keeps a record at some kilobytes. */
    static final int TASKS_PER_PART = 64;

    private final JobId id;

    private final JobSpec spec;

    /** When the job was submitted, on the clock of {@link org.flamingopitch.coordination.api.LoopContext#now()}. */
    private final Instant submittedAt;

    /** When the job was submitted, in milliseconds since 1970. */
    private final long submittedMillis;

    private boolean startedByFormerOwner;

    private final List<List<Step>> occurrences = new ArrayList<>();

    /** The tasks of all occurrences and steps, in this order. */
    private final List<Task> tasks = new ArrayList<>();

    /** The index in {@link #tasks} of the first task of each step of the first occurrence. */
    private final int[] stepOffsets;

    /** The parts of the progress for which the store may have a record. */
    private final BitSet storedParts = new BitSet();

    private final BitSet misplacedParts = new BitSet();

    private QueueSpec queue;

    private boolean laterPartsUsed;

    private boolean definitionStored;

    /** Whether the start of a task was ordered. */
    private boolean started;

    /** Whether a worker is known to have begun a task. */
    private boolean begun;

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
        this.stepOffsets = new int[spec.steps().size()];
        for (int occurrence = 0; occurrence < (spec.steps().isEmpty() ? 0 : spec.occurrences()); occurrence++) {
            List<Step> steps = new ArrayList<>();
            for (StepSpec stepSpec : spec.steps()) {
                if (occurrence == 0) {
                    stepOffsets[steps.size()] = tasks.size();
                }
                Step step = new Step(this, occurrence, steps.size(), stepSpec);
                steps.add(step);
                tasks.addAll(step.tasks());
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

    /** Returns the part of the progress that holds a task's record. */
    int partOf(TaskRef ref) {
        int tasksPerOccurrence = tasks.size() / occurrences.size();
        int index = ref.occurrence() * tasksPerOccurrence + stepOffsets[ref.step()] + ref.index();
        return index / TASKS_PER_PART;
    }

    /** Returns the tasks whose records are in a part of the progress. */
    List<Task> tasksOfPart(int part) {
        int from = Math.min(part * TASKS_PER_PART, tasks.size());
        return tasks.subList(from, Math.min(from + TASKS_PER_PART, tasks.size()));
    }

    /** Returns the parts of the progress for which the store may have a record. */
    BitSet storedParts() {
        return (BitSet) storedParts.clone();
    }

    boolean partStored(int part) {
        return storedParts.get(part);
    }

    /** Records that the store has a record of a part, or may have it soon. */
    void markPartStored(int part) {
        storedParts.set(part);
        laterPartsUsed |= part > 0;
    }

    void markPartDeleted(int part) {
        storedParts.clear(part);
    }

    /** Returns the parts whose records an earlier version stored in the first part. */
    BitSet misplacedParts() {
        return (BitSet) misplacedParts.clone();
    }

    void markMisplaced(int part) {
        misplacedParts.set(part);
    }

    void markPlaced(int part) {
        misplacedParts.clear(part);
    }

    /** Returns whether a task of another part than the first has been started. */
    boolean laterPartsUsed() {
        return laterPartsUsed;
    }

    void markLaterPartsUsed() {
        laterPartsUsed = true;
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

    /** Returns whether a former owner recorded a run of any task, so that the job may have been at work before. */
    boolean startedByFormerOwner() {
        return startedByFormerOwner;
    }

    void markStartedByFormerOwner() {
        started = true;
        startedByFormerOwner = true;
    }

    void markStarted() {
        started = true;
    }

    /** Returns whether a worker is known to have begun a task; the order of a start does not show it. */
    boolean begun() {
        return begun;
    }

    void markBegun() {
        begun = true;
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
        return begun || startedByFormerOwner ? JobState.RUNNING : JobState.QUEUED;
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
