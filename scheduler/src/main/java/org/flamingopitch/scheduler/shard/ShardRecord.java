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
     * The work of a key may be run from now on.
     *
     * @param key the key
     * @param at when it was first seen
     */
    record KeySeen(IdempotencyKey key, Instant at) implements ShardRecord {}

    /**
     * The outcome of a key's work.
     *
     * @param key the key
     * @param outcome the outcome
     */
    record KeyFinished(IdempotencyKey key, Outcome outcome) implements ShardRecord {}

    /**
     * The work of a key certainly did not run; the key may come again.
     *
     * @param key the key
     */
    record KeyReleased(IdempotencyKey key) implements ShardRecord {}

    /** Everything that this owner ran is on record; it gives the shard up. */
    record AllRecorded() implements ShardRecord {}

    /**
     * A job was accepted.
     *
     * @param job the key
     * @param kind the kind of work
     * @param payload the job
     * @param at when it was accepted
     */
    record JobSubmitted(IdempotencyKey job, KindName kind, Payload payload, Instant at) implements ShardRecord {}

    /**
     * An attempt may start from now on.
     *
     * @param job the key
     * @param attempt the attempt
     * @param rack where
     */
    record AttemptPlanned(IdempotencyKey job, int attempt, PartitionId rack) implements ShardRecord {}

    /**
     * An attempt has ended and the job waits for another.
     *
     * @param job the key
     * @param attempt the attempt
     * @param state how it ended
     * @param resumePoint where the next attempt resumes
     */
    record AttemptEnded(IdempotencyKey job, int attempt, TaskState state, String resumePoint) implements ShardRecord {}

    /**
     * A job has ended.
     *
     * @param job the key
     * @param phase how
     * @param result its result, or empty
     * @param detail why
     */
    record JobEnded(IdempotencyKey job, JobPhase phase, Payload result, String detail) implements ShardRecord {}

    /**
     * The state of a job in a snapshot.
     *
     * @param job the key
     * @param kind the kind of work
     * @param payload the job
     * @param at when it was accepted
     * @param phase its phase
     * @param attempt the latest attempt
     * @param evictions how many attempts were stopped after a checkpoint
     * @param failures how many attempts failed
     * @param rack where the latest attempt was planned, or null
     * @param resumePoint where the next attempt resumes
     * @param result its result, or empty
     * @param detail why it ended
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
