package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.flamingopitch.scheduler.cell.admission.AdmissionOutcome;
import org.flamingopitch.scheduler.cell.admission.RetryDelay;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.port.OwnerMetrics;

/** Refuses jobs for other reasons than their load, with a delay that suits the reason, and records each refusal. */
final class JobRefusals {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Another version of the system may support the job or store it. */
    private static final Duration UNSUPPORTED_RETRY_DELAY = Duration.ofSeconds(30);

    private static final Duration UNCONFIRMED_RETRY_DELAY = Duration.ofSeconds(1);

    /** Another host may have the configuration that has dropped the queue, and answers that there is none. */
    private static final Duration UNCONFIGURED_RETRY_DELAY = Duration.ofSeconds(1);

    private final OwnerMetrics metrics;

    JobRefusals(OwnerMetrics metrics) {
        this.metrics = metrics;
    }

    /** Refuses a job that needs a feature that is not supported. */
    void refuseUnsupported(JobId id, QueueSpec queue, String detail, Consumer<JobAnswer> answer) {
        refuse(id, queue, AdmissionOutcome.UNSUPPORTED, UNSUPPORTED_RETRY_DELAY, detail, answer);
    }

    /** Refuses a job of a host with an older configuration, for whose path a newer one has no queue. */
    void refuseUnconfigured(JobId id, QueueSpec queue, Consumer<JobAnswer> answer) {
        String detail = "the queue is not configured any more";
        refuse(id, queue, AdmissionOutcome.UNCONFIGURED, UNCONFIGURED_RETRY_DELAY, detail, answer);
    }

    /** Refuses a job as the store has not confirmed the ownership recently. */
    void refuseUnconfirmed(JobId id, QueueSpec queue, Consumer<JobAnswer> answer) {
        String detail = "the store does not answer";
        refuse(id, queue, AdmissionOutcome.UNCONFIRMED, UNCONFIRMED_RETRY_DELAY, detail, answer);
    }

    /**
     * Refuses a job as the store is away.
     *
     * @param elapsed how long the store has not answered
     */
    void refuseStoreAway(JobId id, QueueSpec queue, Duration elapsed, Consumer<JobAnswer> answer) {
        // An outage that has lasted long is likely to last longer; callers have few attempts.
        Duration retryDelay = RetryDelay.of(elapsed.dividedBy(2), id.value());
        String detail = "the store has not answered for " + elapsed.toMillis() + " ms";
        refuse(id, queue, AdmissionOutcome.STORE_AWAY, retryDelay, detail, answer);
    }

    private void refuse(
            JobId id,
            QueueSpec queue,
            AdmissionOutcome outcome,
            Duration retryDelay,
            String detail,
            Consumer<JobAnswer> answer) {
        metrics.recordAdmission(queue.priority(), outcome.label());
        LOGGER.atWarning().log(
                "event=refused job=%s queue=%s reason=%s retry_ms=%d detail=\"%s\"",
                id, queue.name(), outcome.label(), retryDelay.toMillis(), detail);
        answer.accept(new JobAnswer.Refused(retryDelay, detail));
    }

    /** Returns the feature that a job needs and that is not supported, if any; such a job is refused. */
    static Optional<String> unsupportedFeature(JobRequest.Submit submit) {
        if (submit.queue().advised()) {
            return Optional.of("queues with a policy service are not served");
        }
        boolean gang = submit.spec().steps().stream().anyMatch(step -> step.gang() && step.count() > 1);
        return gang ? Optional.of("gangs are not served") : Optional.empty();
    }
}
