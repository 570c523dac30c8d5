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

/** A job and the state of its latest attempt, held by the shard's owner. */
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

    private Instant lastSeenRunningAt = Instant.EPOCH;

    /** Whether the record of the accepted job is durable. */
    private boolean durable;

    /** Whether a record about this job is being written. Until it is durable, no other change of phase begins. */
    private boolean recordPending;

    private boolean cancelRequested;

    private int unsuccessfulAttempts;

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

    void setRecordPending(boolean pending) {
        recordPending = pending;
    }

    boolean cancelRequested() {
        return cancelRequested;
    }

    void requestCancel() {
        cancelRequested = true;
    }

    boolean mayStart(Instant now) {
        return phase == JobPhase.QUEUED && durable && !recordPending && !now.isBefore(notBefore);
    }

    /** Returns whether the latest attempt may be running and its end is not being recorded. */
    boolean attemptMayRun() {
        boolean attemptOpen = phase == JobPhase.STARTING || phase == JobPhase.RUNNING || phase == JobPhase.STOPPING;
        return attemptOpen && !recordPending;
    }

    void postponeUntil(Instant time, String reason) {
        notBefore = time;
        detail = reason;
    }

    /** Counts an attempt that ended without success; returns the number since an attempt last started to run. */
    int countUnsuccessfulAttempt() {
        unsuccessfulAttempts++;
        return unsuccessfulAttempts;
    }

    void planAttempt(int newAttempt, PartitionId newRack) {
        attempt = newAttempt;
        rack = newRack;
        phase = JobPhase.STARTING;
        detail = "starting in " + newRack;
    }

    /** Returns whether the attempt is not running, or was last reported running before the given time. */
    boolean statusStale(Instant bound) {
        return phase != JobPhase.RUNNING || lastSeenRunningAt.isBefore(bound);
    }

    void markRunning(String worker, Instant now) {
        lastSeenRunningAt = now;
        if (phase == JobPhase.STARTING) {
            phase = JobPhase.RUNNING;
            unsuccessfulAttempts = 0;
        }
        detail = "on " + worker;
    }

    /** Sets the detail shown while the state of the attempt is unknown and queried again. */
    void markStateUnknown() {
        detail = "asking " + rack + " for the state of attempt " + attempt;
    }

    void markStopping() {
        phase = JobPhase.STOPPING;
    }

    void markAttemptEnded(int endedAttempt, TaskState state, String newResumePoint) {
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

    void markEnded(JobPhase newPhase, Payload newResult, String newDetail) {
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
