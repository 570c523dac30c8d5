package org.flamingopitch.scheduler.shard;

import java.time.Instant;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.message.JobPhase;
import org.flamingopitch.scheduler.message.TaskState;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Payload;

/** A record of a shard's journal. */
public sealed interface ShardRecord {

    /**
     * The request of an idempotency key may run from now on.
     *
     * @param key the key
     * @param at when the key was first received
     */
    record KeySeen(IdempotencyKey key, Instant at) implements ShardRecord {}

    /**
     * The outcome of a key's request.
     *
     * @param key the key
     * @param outcome the outcome
     */
    record KeyFinished(IdempotencyKey key, Outcome outcome) implements ShardRecord {}

    /**
     * The request of a key did not run; a later request with the same key may run.
     *
     * @param key the key
     */
    record KeyReleased(IdempotencyKey key) implements ShardRecord {}

    /** All outcomes of this owner's requests are recorded; written when it hands the shard over. */
    record AllRecorded() implements ShardRecord {}

    /**
     * A job was accepted.
     *
     * @param job the key of the job
     * @param kind the kind of work
     * @param payload the input of the job
     * @param at when it was accepted
     */
    record JobSubmitted(IdempotencyKey job, KindName kind, Payload payload, Instant at) implements ShardRecord {}

    /**
     * The next attempt of a job may start from now on.
     *
     * @param job the key of the job
     * @param attempt the number of the attempt
     * @param rack the rack that is to run it
     */
    record AttemptPlanned(IdempotencyKey job, int attempt, PartitionId rack) implements ShardRecord {}

    /**
     * An attempt has ended, and the job is queued for another.
     *
     * @param job the key of the job
     * @param attempt the number of the attempt
     * @param state how it ended
     * @param resumePoint the checkpoint from which the next attempt resumes, or empty
     */
    record AttemptEnded(IdempotencyKey job, int attempt, TaskState state, String resumePoint) implements ShardRecord {}

    /**
     * A job has ended.
     *
     * @param job the key of the job
     * @param phase the final phase
     * @param result its result, or empty
     * @param detail the reason
     */
    record JobEnded(IdempotencyKey job, JobPhase phase, Payload result, String detail) implements ShardRecord {}

    /**
     * The state of a job in a snapshot.
     *
     * @param job the key of the job
     * @param kind the kind of work
     * @param payload the input of the job
     * @param at when it was accepted
     * @param phase its phase
     * @param attempt the number of the latest attempt
     * @param evictions the number of attempts that were stopped after a checkpoint
     * @param failures the number of attempts that failed
     * @param rack the rack of the latest attempt, or null if there was none
     * @param resumePoint the checkpoint from which the next attempt resumes, or empty
     * @param result its result, or empty
     * @param detail the reason for the phase
     */
    record JobState(
            IdempotencyKey job,
            KindName kind,
            Payload payload,
            Instant at,
            JobPhase phase,
            int attempt,
            int evictions,
            int failures,
            PartitionId rack,
            String resumePoint,
            Payload result,
            String detail)
            implements ShardRecord {}
}
