package org.flamingopitch.scheduler.message;

import java.util.List;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.TaskId;

/** A message from one process to another. */
public sealed interface PeerMessage {

    /**
     * Introduces the sender; answered by {@link Welcome}.
     *
     * @param member the sender
     * @param registration the number of its registration
     */
    record Introduce(Member member, long registration) implements PeerMessage {}

    /**
     * The sender knows the receiver.
     *
     * @param registration the number that the receiver gave
     */
    record Welcome(long registration) implements PeerMessage {}

    /**
     * Asks for a promise to take nothing over from the sender.
     *
     * @param group the ownership group
     * @param round the number of the round
     */
    record AskPromise(String group, long round) implements PeerMessage {}

    /**
     * Answers {@link AskPromise}.
     *
     * @param group the ownership group
     * @param round the number of the round
     * @param granted whether the sender promises
     */
    record AnswerPromise(String group, long round, boolean granted) implements PeerMessage {}

    /**
     * Asks a rack's owner to run a request.
     *
     * @param id the correlation id
     * @param rack the rack
     * @param kind the kind of work
     * @param payload the request
     * @param remainingMillis how long the caller still waits
     */
    record Execute(long id, PartitionId rack, KindName kind, Payload payload, long remainingMillis)
            implements PeerMessage {}

    /**
     * Asks a shard's owner to run a request at most once.
     *
     * @param id the correlation id
     * @param shard the shard
     * @param key the idempotency key
     * @param kind the kind of work
     * @param payload the request
     * @param remainingMillis how long the caller still waits
     */
    record ExecuteOnce(
            long id, PartitionId shard, IdempotencyKey key, KindName kind, Payload payload, long remainingMillis)
            implements PeerMessage {}

    /**
     * Answers {@link Execute} and {@link ExecuteOnce}.
     *
     * @param id the correlation id
     * @param outcome the outcome
     */
    record Executed(long id, Outcome outcome) implements PeerMessage {}

    /**
     * The caller has gone; what was not sent to a worker need not run.
     *
     * @param id the correlation id
     */
    record Cancel(long id) implements PeerMessage {}

    /**
     * Asks a shard's owner about a job.
     *
     * @param id the correlation id
     * @param shard the shard
     * @param command what to do
     */
    record AskJob(long id, PartitionId shard, JobCommand command) implements PeerMessage {}

    /**
     * Answers {@link AskJob}.
     *
     * @param id the correlation id
     * @param answer the answer
     */
    record AnswerJob(long id, JobAnswer answer) implements PeerMessage {}

    /**
     * Asks a rack's owner to start a task.
     *
     * @param rack the rack
     * @param task the attempt
     * @param kind the kind of work
     * @param payload the job
     * @param resumePoint where the attempt before stopped
     */
    record StartTask(PartitionId rack, TaskId task, KindName kind, Payload payload, String resumePoint)
            implements PeerMessage {}

    /**
     * Asks a rack's owner to stop a task.
     *
     * @param rack the rack
     * @param task the attempt
     * @param checkpoint whether the work so far is kept
     */
    record StopTask(PartitionId rack, TaskId task, boolean checkpoint) implements PeerMessage {}

    /**
     * Asks a rack's owner about tasks.
     *
     * @param rack the rack
     * @param tasks the attempts
     */
    record QueryTasks(PartitionId rack, List<TaskId> tasks) implements PeerMessage {}

    /**
     * Tells a shard's owner about tasks.
     *
     * @param rack the rack
     * @param tasks the attempts
     */
    record TellTasks(PartitionId rack, List<TaskStatus> tasks) implements PeerMessage {}

    /**
     * The ends of these tasks are durable; workers may forget them.
     *
     * @param rack the rack
     * @param tasks the attempts
     */
    record AcknowledgeTasks(PartitionId rack, List<TaskId> tasks) implements PeerMessage {}

    /**
     * Tells how much room the sender's racks have.
     *
     * @param configVersion the configuration in force at the sender
     * @param racks the racks that the sender owns
     */
    record TellLoad(long configVersion, List<RackLoad> racks) implements PeerMessage {}
}
