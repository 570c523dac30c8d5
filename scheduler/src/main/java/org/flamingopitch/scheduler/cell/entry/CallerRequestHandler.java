package org.flamingopitch.scheduler.cell.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.owner.JobAnswer;
import org.flamingopitch.scheduler.cell.owner.JobRequest;

/** Handles callers' requests: routes each to its queue, validates it and sends it to the cell's owner. */
public final class CallerRequestHandler {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int JOB_ID_LENGTH = 16;

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private static final int HEX_RADIX = 16;

    private final OwnerRequestSender ownerRequests;

    private Optional<CellConfiguration> configuration = Optional.empty();

    /**
     * Creates a handler.
     *
     * @param ownerRequests sends requests to the cell's owner
     */
    CallerRequestHandler(OwnerRequestSender ownerRequests) {
        this.ownerRequests = ownerRequests;
    }

    /**
     * Applies a configuration unless the same or a newer version is already in force.
     *
     * @param next the configuration
     * @return whether the configuration was applied
     */
    boolean configure(CellConfiguration next) {
        if (configuration.isPresent() && configuration.get().version() >= next.version()) {
            return false;
        }
        configuration = Optional.of(next);
        LOGGER.atInfo().log(
                "event=configuration version=%d queues=%d",
                next.version(), next.queues().size());
        return true;
    }

    Optional<CellConfiguration> configuration() {
        return configuration;
    }

    /**
     * Handles a caller's request.
     *
     * @param callerRequest the request
     * @param reply receives the reply exactly once
     */
    void handle(CallerJobRequest callerRequest, Consumer<CallerReply> reply) {
        if (configuration.isEmpty()) {
            reply.accept(new CallerReply.Refused(RETRY_AFTER, "no configuration yet"));
            return;
        }
        Optional<QueueSpec> queue = configuration.get().route(callerRequest.host(), callerRequest.path());
        if (queue.isEmpty()) {
            reply.accept(new CallerReply.NoQueue());
            return;
        }
        String id = callerRequest.path().substring(queue.get().prefix().length());
        if (id.isEmpty() && callerRequest.operation() instanceof CallerOperation.Ask) {
            ownerRequests.send(
                    new JobRequest.AskPending(queue.get().name()),
                    callerRequest.timeout(),
                    answer -> reply.accept(toCallerReply(answer)));
            return;
        }
        if (!isValidJobId(id)) {
            reply.accept(new CallerReply.Malformed("the job id must be " + JOB_ID_LENGTH + " hexadecimal digits"));
            return;
        }
        handleJobRequest(callerRequest, queue.get(), new JobId(id), reply);
    }

    private void handleJobRequest(
            CallerJobRequest callerRequest, QueueSpec queue, JobId id, Consumer<CallerReply> reply) {
        if (callerRequest.operation() instanceof CallerOperation.Malformed malformed) {
            reply.accept(new CallerReply.Malformed(malformed.error()));
            return;
        }
        JobRequest request;
        if (callerRequest.operation() instanceof CallerOperation.Submit submit) {
            String error = submit.spec().validationError();
            if (error != null) {
                reply.accept(new CallerReply.Malformed(error));
                return;
            }
            request = new JobRequest.Submit(id, queue, configuration.get().version(), submit.spec());
        } else if (callerRequest.operation() instanceof CallerOperation.Cancel) {
            request = new JobRequest.Cancel(id);
        } else {
            request = new JobRequest.AskState(id);
        }
        ownerRequests.send(request, callerRequest.timeout(), answer -> {
            CallerReply callerReply = toCallerReply(answer);
            if (!(callerReply instanceof CallerReply.Done) && !(callerReply instanceof CallerReply.State)) {
                LOGGER.atInfo().log(
                        "event=not_served job=%s request=%s reply=%s",
                        id, request.getClass().getSimpleName(), callerReply);
            } else if (answer instanceof JobAnswer.Accepted) {
                LOGGER.atInfo().log("event=accepted job=%s queue=%s", id, queue.name());
            }
            reply.accept(callerReply);
        });
    }

    private static boolean isValidJobId(String id) {
        if (id.length() != JOB_ID_LENGTH) {
            return false;
        }
        return id.chars().allMatch(character -> Character.digit(character, HEX_RADIX) >= 0);
    }

    private static CallerReply toCallerReply(JobAnswer answer) {
        if (answer instanceof JobAnswer.Accepted || answer instanceof JobAnswer.Cancelled) {
            return new CallerReply.Done();
        }
        if (answer instanceof JobAnswer.State state) {
            return new CallerReply.State(state.state());
        }
        if (answer instanceof JobAnswer.Pending pending) {
            return new CallerReply.Pending(pending.count());
        }
        if (answer instanceof JobAnswer.Unknown) {
            return new CallerReply.NoJob();
        }
        if (answer instanceof JobAnswer.Refused refused) {
            return new CallerReply.Refused(refused.retryAfter(), refused.reason());
        }
        return new CallerReply.InDoubt("no answer of the owner in time");
    }
}
