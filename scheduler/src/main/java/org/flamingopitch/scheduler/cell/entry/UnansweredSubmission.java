package org.flamingopitch.scheduler.cell.entry;

import java.time.Duration;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.owner.CellKeys;
import org.flamingopitch.scheduler.cell.owner.JobAnswer;

/**
 * Answers a submission that no owner has answered, from the store. The caller may have submitted the same job through
 * another host before, so it must not be told that the job was not accepted unless that is certain: the job is not
 * stored, and without an owner no earlier submission can be stored any more.
 */
final class UnansweredSubmission {

    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final LoopContext context;

    private final JobId job;

    private final Consumer<JobAnswer> handler;

    private UnansweredSubmission(LoopContext context, JobId job, Consumer<JobAnswer> handler) {
        this.context = context;
        this.job = job;
        this.handler = handler;
    }

    /**
     * Determines the answer.
     *
     * @param context the calls to the store
     * @param job the submitted job
     * @param handler receives the answer exactly once
     */
    static void resolve(LoopContext context, JobId job, Consumer<JobAnswer> handler) {
        new UnansweredSubmission(context, job, handler).readOwner();
    }

    private void readOwner() {
        context.callStore(
                new KeyValueRequest.Get(CellKeys.OWNER), owner -> readJob(owner instanceof KeyValueResult.Missing));
    }

    /** Reads the job after the owner's key: what a former owner has committed is then visible. */
    private void readJob(boolean vacant) {
        context.callStore(new KeyValueRequest.Get(CellKeys.job(job)), stored -> handler.accept(answer(vacant, stored)));
    }

    private static JobAnswer answer(boolean vacant, KeyValueResult stored) {
        if (stored instanceof KeyValueResult.Found) {
            return new JobAnswer.Accepted();
        }
        boolean notAccepted = vacant && stored instanceof KeyValueResult.Missing;
        return notAccepted ? new JobAnswer.Refused(RETRY_DELAY, "no owner") : new JobAnswer.InDoubt();
    }
}
