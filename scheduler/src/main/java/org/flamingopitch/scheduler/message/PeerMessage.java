package org.flamingopitch.scheduler.message;

import java.util.List;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.TaskId;

/** A message from one entry host process to another. */
public sealed interface PeerMessage {

    /**
     * Introduces the sender to the receiver, which answers with {@link Welcome}.
     *
     * @param member the sender's member entry
     * @param registration the number of the sender's registration in the store
     */
    record Introduce(Member member, long registration) implements PeerMessage {}

    /**
     * Confirms {@link Introduce}: the sender of this message now knows the receiver.
     *
     * @param registration the registration number from the introduction
     */
    record Welcome(long registration) implements PeerMessage {}

    /**
     * Requests a promise not to take over partitions of the sender for a limited time. The promises of all peers extend
     * the ownership of the sender while the store is unreachable.
     *
     * @param group the ownership group
     * @param round the number of the round of requests, which the answer repeats
     */
    record AskPromise(String group, long round) implements PeerMessage {}

    /**
     * Answers {@link AskPromise}.
     *
     * @param group the ownership group
     * @param round the number of the round of requests, which the answer repeats
     * @param granted whether the sender of this message gives the promise
     */
    record AnswerPromise(String group, long round, boolean granted) implements PeerMessage {}

    /**
     * Requests that a rack's owner runs a request on one of its workers.
     *
     * @param id the correlation id
     * @param rack the rack
     * @param kind the kind of work
     * @param payload the input of the work
     * @param remainingMillis the time until the caller stops waiting
     */
    record Execute(long id, PartitionId rack, KindName kind, Payload payload, long remainingMillis)
            implements PeerMessage {}

    /**
     * Requests that a shard's owner runs a request at most once for its idempotency key.
     *
     * @param id the correlation id
     * @param shard the shard
     * @param key the idempotency key
     * @param kind the kind of work
     * @param payload the input of the work
     * @param remainingMillis the time until the caller stops waiting
     */
    record ExecuteOnce(
            long id, PartitionId shard, IdempotencyKey key, KindName kind, Payload payload, long remainingMillis)
            implements PeerMessage {}

    /**
     * Answers {@link Execute} and {@link ExecuteOnce}.
     *
     * @param id the correlation id
     * @param outcome the outcome of the request
     */
    record Executed(long id, Outcome outcome) implements PeerMessage {}

    /**
     * Cancels a request because its caller no longer waits. Work that has already been sent to a worker goes on.
     *
     * @param id the correlation id
     */
    record Cancel(long id) implements PeerMessage {}

    /**
     * Sends a job command to the owner of the job's shard.
     *
     * @param id the correlation id
     * @param shard the shard
     * @param command the command
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
     * Requests that a rack's owner starts a task.
     *
     * @param rack the rack
     * @param task the attempt of the job
     * @param kind the kind of work
     * @param payload the input of the work
     * @param resumePoint the checkpoint of the previous attempt, or empty
     */
    record StartTask(PartitionId rack, TaskId task, KindName kind, Payload payload, String resumePoint)
            implements PeerMessage {}

    /**
     * Requests that a rack's owner stops a task.
     *
     * @param rack the rack
     * @param task the attempt of the job
     * @param checkpoint whether to write a checkpoint first, so that the job can resume
     */
    record StopTask(PartitionId rack, TaskId task, boolean checkpoint) implements PeerMessage {}

    /**
     * Queries a rack's owner for the state of tasks.
     *
     * @param rack the rack
     * @param tasks the attempts to report
     */
    record QueryTasks(PartitionId rack, List<TaskId> tasks) implements PeerMessage {}

    /**
     * Reports the state of tasks to the owner of their jobs' shard.
     *
     * @param rack the rack
     * @param tasks the state of each attempt
     */
    record TellTasks(PartitionId rack, List<TaskStatus> tasks) implements PeerMessage {}

    /**
     * Confirms that the ends of tasks are durable in the shard's journal, so that workers may delete them.
     *
     * @param rack the rack
     * @param tasks the attempts
     */
    record AcknowledgeTasks(PartitionId rack, List<TaskId> tasks) implements PeerMessage {}

    /**
     * Reports the free slots of the racks that the sender owns.
     *
     * @param configVersion the version of the configuration in force at the sender
     * @param racks the free slots of each rack
     */
    record TellLoad(long configVersion, List<RackLoad> racks) implements PeerMessage {}
}
