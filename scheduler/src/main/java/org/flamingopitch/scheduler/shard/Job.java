package org.flamingopitch.scheduler.shard;

import java.time.Instant;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.message.JobPhase;
import org.flamingopitch.scheduler.message.JobView;
import org.flamingopitch.scheduler.message.TaskState;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.TaskId;

/** A job at its shard's owner. */
final class Job {

    private final IdempotencyKey key;

    private final KindName kind;

    private final Instant acceptedAt;

    private Payload payload;

    private JobPhase phase = JobPhase.QUEUED;

    private int attempt;

    private int evictions;

    private int failures;

    private PartitionId rack;

    private String resumePoint = "";

    private Payload result = Payload.EMPTY;

    private String detail = "accepted";

    private Instant notBefore = Instant.EPOCH;

    private Instant runningSeenAt = Instant.EPOCH;

    private boolean durable;

    private boolean recordPending;

    private boolean cancelAsked;

    private int refusals;

    Job(ShardRecord.JobSubmitted record) {
        this.key = record.job();
        this.kind = record.kind();
        this.payload = record.payload();
        this.acceptedAt = record.at();
    }

    Job(ShardRecord.JobState state) {
        this.key = state.job();
        this.kind = state.kind();
        this.payload = state.payload();
        this.acceptedAt = state.at();
        this.phase = state.phase();
        this.attempt = state.attempt();
        this.evictions = state.evictions();
        this.failures = state.failures();
        this.rack = state.rack();
        this.resumePoint = state.resumePoint();
        this.result = state.result();
        this.detail = state.detail();
        this.durable = true;
    }

    IdempotencyKey key() {
        return key;
    }

    KindName kind() {
        return kind;
    }

    Payload payload() {
        return payload;
    }

    JobPhase phase() {
        return phase;
    }

    PartitionId rack() {
        return rack;
    }

    String resumePoint() {
        return resumePoint;
    }

    int failures() {
        return failures;
    }

    TaskId task() {
        return new TaskId(key, attempt);
    }

    int attempt() {
        return attempt;
    }

    boolean durable() {
        return durable;
    }

    void markDurable() {
        durable = true;
    }

    boolean recordPending() {
        return recordPending;
    }

    void recordPending(boolean pending) {
        recordPending = pending;
    }

    boolean cancelAsked() {
        return cancelAsked;
    }

    void askCancel() {
        cancelAsked = true;
    }

    boolean mayStart(Instant now) {
        return phase == JobPhase.QUEUED && durable && !recordPending && !now.isBefore(notBefore);
    }

    boolean mayRun() {
        boolean open = phase == JobPhase.STARTING || phase == JobPhase.RUNNING || phase == JobPhase.STOPPING;
        return open && !recordPending;
    }

    void waitUntil(Instant time, String why) {
        notBefore = time;
        detail = why;
    }

    int refused() {
        refusals++;
        return refusals;
    }

    void plan(int newAttempt, PartitionId newRack) {
        attempt = newAttempt;
        rack = newRack;
        phase = JobPhase.STARTING;
        detail = "starting in " + newRack;
    }

    /** Tells whether this is not a running attempt of which something was heard since a time. */
    boolean stateOlderThan(Instant bound) {
        return phase != JobPhase.RUNNING || runningSeenAt.isBefore(bound);
    }

    void running(String worker, Instant now) {
        runningSeenAt = now;
        if (phase == JobPhase.STARTING) {
            phase = JobPhase.RUNNING;
            refusals = 0;
        }
        detail = "on " + worker;
    }

    /** Notes that the state of the attempt is not known yet; it is asked for again. */
    void awaitState() {
        detail = "asking " + rack + " for the state of attempt " + attempt;
    }

    void stopping() {
        phase = JobPhase.STOPPING;
    }

    void attemptEnded(int endedAttempt, TaskState state, String newResumePoint) {
        if (endedAttempt != attempt || phase == JobPhase.QUEUED || phase.ended()) {
            return;
        }
        phase = JobPhase.QUEUED;
        detail = "attempt " + endedAttempt + " ended: " + state;
        if (state == TaskState.STOPPED) {
            evictions++;
        }
        if (state == TaskState.FAILED) {
            failures++;
        }
        if (!newResumePoint.isEmpty()) {
            resumePoint = newResumePoint;
        }
    }

    void end(JobPhase newPhase, Payload newResult, String newDetail) {
        if (phase.ended()) {
            return;
        }
        phase = newPhase;
        result = newResult;
        detail = newDetail;
        payload = Payload.EMPTY;
    }

    JobView view() {
        return new JobView(key, kind, phase, attempt, evictions, detail, result);
    }

    ShardRecord.JobState state() {
        return new ShardRecord.JobState(
                key, kind, payload, acceptedAt, phase, attempt, evictions, failures, rack, resumePoint, result, detail);
    }
}
