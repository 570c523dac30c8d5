package org.flamingopitch.scheduler.rack;

import java.time.Instant;
import org.flamingopitch.scheduler.message.TaskState;
import org.flamingopitch.scheduler.message.TaskStatus;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.TaskId;

/** A task that this rack's owner started, or that a worker reported to it. */
final class TaskEntry {

    private final TaskId task;

    private final Worker worker;

    /** No worker starts the task after this time: the end of the lease in its start request, plus the clock skew. */
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

    void markRunning(Instant now) {
        if (!state.ended()) {
            state = TaskState.RUNNING;
            seenRunningAt = now;
        }
    }

    void markEnded(TaskState newState, String newResumePoint, Payload newResult, String newDetail) {
        if (state.ended()) {
            return;
        }
        state = newState;
        resumePoint = newResumePoint;
        result = newResult;
        detail = newDetail;
    }

    /**
     * Returns whether a report that does not list this task proves that the task is not running and will not start. The
     * report must have been requested after the task was last seen running or, if it never was, after the last time at
     * which it can start.
     */
    boolean absenceProvesEnd(Instant reportRequestedAt) {
        if (seenRunningAt != null) {
            return reportRequestedAt.isAfter(seenRunningAt);
        }
        return reportRequestedAt.isAfter(startableUntil);
    }

    boolean everSeenRunning() {
        return seenRunningAt != null;
    }

    TaskStatus status() {
        return new TaskStatus(task, state, resumePoint, result, detail);
    }
}
