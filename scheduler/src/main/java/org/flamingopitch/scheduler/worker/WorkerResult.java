package org.flamingopitch.scheduler.worker;

import java.util.List;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.RequestId;

/** The result of a {@link WorkerRequest}. */
public sealed interface WorkerResult {

    /**
     * The request ran, and its answer was received completely.
     *
     * @param answer the answer
     */
    record Executed(Payload answer) implements WorkerResult {}

    /**
     * The work itself failed; it may have run in part.
     *
     * @param detail the worker's error message
     */
    record ExecutionFailed(String detail) implements WorkerResult {}

    /** The worker has started the task. */
    record TaskStarted() implements WorkerResult {}

    /**
     * The worker did not start the task.
     *
     * @param detail the reason
     */
    record TaskRefused(String detail) implements WorkerResult {}

    /**
     * The state of the task after the call.
     *
     * @param report the state that the worker reports
     */
    record TaskChanged(TaskReport report) implements WorkerResult {}

    /** The worker does not know the task. */
    record TaskMissing() implements WorkerResult {}

    /**
     * The work on the worker at the time of the answer, and the latest measurement of its resources.
     *
     * @param tasks the running tasks, and the ended ones that are not yet acknowledged
     * @param requests the requests that are running
     * @param connections the number of its open connections
     * @param usage the resources in use
     */
    record Reported(List<TaskReport> tasks, List<RequestId> requests, int connections, UsageReport usage)
            implements WorkerResult {}

    /**
     * The request was not sent; it cannot have taken effect.
     *
     * @param failure the step that failed, and the peer
     */
    record NotSent(Failure failure) implements WorkerResult {}

    /**
     * No complete answer was received; the request may have taken effect.
     *
     * @param failure the step that failed, and the peer
     */
    record Lost(Failure failure) implements WorkerResult {}
}
