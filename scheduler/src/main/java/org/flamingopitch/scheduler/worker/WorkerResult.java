package org.flamingopitch.scheduler.worker;

import java.util.List;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.RequestId;

/** The outcome of a call to a worker. */
public sealed interface WorkerResult {

    /**
     * The whole answer to a request.
     *
     * @param answer the answer
     */
    record Executed(Payload answer) implements WorkerResult {}

    /**
     * The worker reports a failure of the work itself; it may have run in part.
     *
     * @param detail what the worker said
     */
    record ExecutionFailed(String detail) implements WorkerResult {}

    /** The task runs. */
    record TaskStarted() implements WorkerResult {}

    /**
     * The worker did not start the task.
     *
     * @param detail why
     */
    record TaskRefused(String detail) implements WorkerResult {}

    /**
     * The state of the task after the call.
     *
     * @param report the task
     */
    record TaskChanged(TaskReport report) implements WorkerResult {}

    /** The worker does not know the task. */
    record TaskMissing() implements WorkerResult {}

    /**
     * What runs on the worker at the time of the answer, and an older measurement.
     *
     * @param tasks the tasks, ended ones until they are acknowledged
     * @param requests the requests that it is answering
     * @param connections its open connections
     * @param usage the measurement
     */
    record Reported(List<TaskReport> tasks, List<RequestId> requests, int connections, UsageReport usage)
            implements WorkerResult {}

    /**
     * Nothing reached the worker.
     *
     * @param failure the step and peer
     */
    record NotSent(Failure failure) implements WorkerResult {}

    /**
     * No answer or an incomplete one; the call may have taken effect.
     *
     * @param failure the step and peer
     */
    record Lost(Failure failure) implements WorkerResult {}
}
