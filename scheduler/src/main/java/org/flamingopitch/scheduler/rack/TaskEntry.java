package org.flamingopitch.scheduler.rack;

import java.time.Instant;
import org.flamingopitch.scheduler.message.TaskState;
import org.flamingopitch.scheduler.message.TaskStatus;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.TaskId;

/** A task that this rack's owner started or found on a worker. */
final class TaskEntry {

    private final TaskId task;

    private final Worker worker;

    private final Instant startableUntil;

    private TaskState state = TaskState.UNDETERMINED;

    private String resumePoint = "";

    private Payload result = Payload.EMPTY;

    private String detail;

    private Instant seenRunningAt;

    TaskEntry(TaskId task, Worker worker, Instant startableUntil) {
        this.task = task;
        this.worker = worker;
        this.startableUntil = startableUntil;
        this.detail = worker.id().value();
    }

    TaskId task() {
        return task;
    }

    Worker worker() {
        return worker;
    }

    TaskState state() {
        return state;
    }

    void running(Instant now) {
        if (!state.ended()) {
            state = TaskState.RUNNING;
            seenRunningAt = now;
        }
    }

    void end(TaskState newState, String newResumePoint, Payload newResult, String newDetail) {
        if (state.ended()) {
            return;
        }
        state = newState;
        resumePoint = newResumePoint;
        result = newResult;
        detail = newDetail;
    }

    /** Tells whether a report without this task, asked for at the given time, proves that it does not run. */
    boolean absenceProves(Instant reportSentAt) {
        if (seenRunningAt != null) {
            return reportSentAt.isAfter(seenRunningAt);
        }
        return reportSentAt.isAfter(startableUntil);
    }

    boolean everSeenRunning() {
        return seenRunningAt != null;
    }

    TaskStatus status() {
        return new TaskStatus(task, state, resumePoint, result, detail);
    }
}
