package org.flamingopitch.scheduler.worker;

import java.time.Instant;
import java.util.List;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.RequestId;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.TaskId;

/** A call to a worker. */
public sealed interface WorkerRequest {

    /**
     * Answers a caller's request.
     *
     * @param id names this dispatch
     * @param kind the kind of work
     * @param payload the request
     */
    record Execute(RequestId id, KindName kind, Payload payload) implements WorkerRequest {}

    /**
     * Starts a task; a worker refuses it after the lease's end.
     *
     * @param task the attempt
     * @param kind the kind of work
     * @param size what it takes
     * @param payload the job
     * @param resumePoint where the attempt before stopped, empty for a first attempt
     * @param leaseUntil when the task must stop unless the lease is renewed
     */
    record StartTask(
            TaskId task, KindName kind, Resources size, Payload payload, String resumePoint, Instant leaseUntil)
            implements WorkerRequest {}

    /**
     * Checkpoints a task and stops it in one step.
     *
     * @param task the attempt
     */
    record CheckpointAndStop(TaskId task) implements WorkerRequest {}

    /**
     * Limits the processor time of a task.
     *
     * @param task the attempt
     * @param percent the share of its size that it may use
     */
    record Throttle(TaskId task, int percent) implements WorkerRequest {}

    /**
     * Stops a task without a checkpoint.
     *
     * @param task the attempt
     */
    record Stop(TaskId task) implements WorkerRequest {}

    /**
     * Renews leases, forgets ended tasks, and asks for a report.
     *
     * @param renewed the tasks whose leases are renewed
     * @param leaseUntil until when they are renewed
     * @param acknowledged ended tasks that the worker may forget
     */
    record Report(List<TaskId> renewed, Instant leaseUntil, List<TaskId> acknowledged) implements WorkerRequest {}
}
