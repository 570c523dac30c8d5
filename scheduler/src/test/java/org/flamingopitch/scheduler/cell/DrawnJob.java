package org.flamingopitch.scheduler.cell;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.TaskRef;

/** A job of a drawn session, with what the test has seen of it. */
final class DrawnJob {

    /** What the tasks of a job do on their workers. */
    enum Behaviour {
        SUCCEEDS,
        FAILS_AT_TIMES,
        FAILS,
        CRASHES_WORKERS
    }

    private final String id;

    private final String queue;

    private final JobSpec spec;

    private final Behaviour behaviour;

    private final Duration work;

    private final Set<TaskRef> done = new HashSet<>();

    private final Map<TaskRef, FakeWorker> endedOn = new LinkedHashMap<>();

    private List<CallerReply> submitAnswers = List.of();

    private boolean cancelled;

    /** Until when nothing is expected of the job, as a worker has crashed under it. */
    private Duration disturbedUntil = Duration.ZERO;

    private Duration idleFor = Duration.ZERO;

    /** The answers to the request for the job's state that was sent when it seemed to be idle; null before. */
    private List<CallerReply> stateAnswers;

    DrawnJob(String id, String queue, JobSpec spec, Behaviour behaviour, Duration work) {
        this.id = id;
        this.queue = queue;
        this.spec = spec;
        this.behaviour = behaviour;
        this.work = work;
    }

    String id() {
        return id;
    }

    String path() {
        return "/" + queue + "/" + id;
    }

    JobSpec spec() {
        return spec;
    }

    Behaviour behaviour() {
        return behaviour;
    }

    /** Returns the time that a task works at full speed. */
    Duration work() {
        return work;
    }

    StepSpec step(TaskRef task) {
        return spec.steps().get(task.step());
    }

    /** Ends a run by itself, as the job's behaviour demands. */
    void endRun(TaskRef task, FakeWorker worker, boolean failsByChance) {
        boolean fails = behaviour == Behaviour.FAILS || behaviour == Behaviour.FAILS_AT_TIMES && failsByChance;
        worker.end(task, fails ? EndKind.FAILED : EndKind.DONE);
        if (!fails) {
            endedOn.put(task, worker);
        }
    }

    /** Takes note of the ends that the owner has acknowledged; the others may be lost with their worker. */
    void noteAcknowledgedEnds() {
        List.copyOf(endedOn.keySet()).forEach(task -> {
            FakeWorker worker = endedOn.get(task);
            if (worker.crashed()) {
                endedOn.remove(task);
            } else if (worker.ended().stream().noneMatch(end -> end.task().equals(task))) {
                endedOn.remove(task);
                done.add(task);
            }
        });
    }

    void forgetEndsOn(FakeWorker worker) {
        endedOn.values().removeIf(other -> other == worker);
    }

    /** Returns the steps with a task whose turn has come and that has not ended as done. */
    List<StepSpec> dueSteps() {
        List<StepSpec> due = new ArrayList<>();
        for (int i = 0; i < spec.steps().size(); i++) {
            StepSpec step = spec.steps().get(i);
            if (!stepDone(i) && step.after().stream().allMatch(this::stepDone)) {
                due.add(step);
            }
        }
        return due;
    }

    private boolean stepDone(int index) {
        return done.stream().filter(task -> task.step() == index).count()
                >= spec.steps().get(index).count();
    }

    boolean endsAwaitAcknowledgement() {
        return !endedOn.isEmpty();
    }

    void setSubmitAnswers(List<CallerReply> answers) {
        submitAnswers = answers;
    }

    boolean accepted() {
        return submitAnswers.contains(new CallerReply.Done());
    }

    boolean cancelled() {
        return cancelled;
    }

    void markCancelled() {
        cancelled = true;
    }

    boolean disturbedAt(Duration time) {
        return time.compareTo(disturbedUntil) < 0;
    }

    void disturbUntil(Duration time) {
        disturbedUntil = time;
    }

    Duration idleFor() {
        return idleFor;
    }

    void addIdleTime(Duration time) {
        idleFor = idleFor.plus(time);
    }

    void endIdleTime() {
        idleFor = Duration.ZERO;
        stateAnswers = null;
    }

    List<CallerReply> stateAnswers() {
        return stateAnswers;
    }

    void setStateAnswers(List<CallerReply> answers) {
        stateAnswers = answers;
    }

    @Override
    public String toString() {
        return id + " " + behaviour + " " + spec.steps();
    }
}
