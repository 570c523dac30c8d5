package org.flamingopitch.scheduler.worker;

import java.time.Instant;
import java.util.List;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.RequestId;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.TaskId;

/** A request of an entry host to a worker. */
public sealed interface WorkerRequest {

    /**
     * Runs a caller's request and returns its answer.
     *
     * @param id the id of this dispatch
     * @param kind the kind of work
     * @param payload the input of the work
     */
    record Execute(RequestId id, KindName kind, Payload payload) implements WorkerRequest {}

    /**
     * Starts a task. The worker refuses a task whose lease has already ended.
     *
     * @param task the attempt of the job
     * @param kind the kind of work
     * @param size the resources that it needs
     * @param payload the input of the work
     * @param resumePoint the checkpoint of the previous attempt, or empty
     * @param leaseUntil the time at which the task stops unless its lease is renewed
     */
    record StartTask(
            TaskId task, KindName kind, Resources size, Payload payload, String resumePoint, Instant leaseUntil)
            implements WorkerRequest {}

    /**
     * Writes a checkpoint of a task and stops it.
     *
     * @param task the attempt of the job
     */
    record CheckpointAndStop(TaskId task) implements WorkerRequest {}

    /**
     * Limits the processor time of a task.
     *
     * @param task the attempt of the job
     * @param percent the percentage of its requested processor time that it may use
     */
    record Throttle(TaskId task, int percent) implements WorkerRequest {}

    /**
     * Stops a task without a checkpoint.
     *
     * @param task the attempt of the job
     */
    record Stop(TaskId task) implements WorkerRequest {}

    /**
     * Renews leases, deletes acknowledged tasks, and requests a report.
     *
     * @param renewed the tasks whose leases are renewed
     * @param leaseUntil the new end of these leases
     * @param acknowledged the ended tasks that the worker may delete
     */
    record Report(List<TaskId> renewed, Instant leaseUntil, List<TaskId> acknowledged) implements WorkerRequest {}
}
