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

/** Takes the requests of callers on any host: finds the queue, checks the request and passes it to the owner. */
public final class EntryDesk {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int ID_LENGTH = 16;

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private static final int HEX = 16;

    private final OwnerCallFactory calls;

    private Optional<CellConfiguration> configuration = Optional.empty();

    /**
     * Creates the desk.
     *
     * @param calls passes requests to the owner
     */
    EntryDesk(OwnerCallFactory calls) {
        this.calls = calls;
    }

    /**
     * Applies a configuration, unless a newer one is in force.
     *
     * @param next the queues
     * @return whether it is in force now
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
     * Answers a caller.
     *
     * @param call the request
     * @param reply receives the answer exactly once
     */
    void handle(CallerCall call, Consumer<CallerReply> reply) {
        if (configuration.isEmpty()) {
            reply.accept(new CallerReply.Refused(RETRY_AFTER, "no configuration yet"));
            return;
        }
        Optional<QueueSpec> queue = configuration.get().route(call.host(), call.path());
        if (queue.isEmpty()) {
            reply.accept(new CallerReply.NoQueue());
            return;
        }
        String id = call.path().substring(queue.get().prefix().length());
        if (id.isEmpty() && call.verb() instanceof CallerVerb.Ask) {
            calls.send(
                    new JobRequest.AskPending(queue.get().name()),
                    call.patience(),
                    answer -> reply.accept(translate(answer)));
            return;
        }
        if (!validId(id)) {
            reply.accept(new CallerReply.Malformed("the job id must be " + ID_LENGTH + " hexadecimal digits"));
            return;
        }
        handleJob(call, queue.get(), new JobId(id), reply);
    }

    private void handleJob(CallerCall call, QueueSpec queue, JobId id, Consumer<CallerReply> reply) {
        if (call.verb() instanceof CallerVerb.Malformed malformed) {
            reply.accept(new CallerReply.Malformed(malformed.error()));
            return;
        }
        JobRequest request;
        if (call.verb() instanceof CallerVerb.Submit submit) {
            String error = submit.spec().error();
            if (error != null) {
                reply.accept(new CallerReply.Malformed(error));
                return;
            }
            request = new JobRequest.Submit(id, queue, submit.spec());
        } else if (call.verb() instanceof CallerVerb.Cancel) {
            request = new JobRequest.Cancel(id);
        } else {
            request = new JobRequest.AskState(id);
        }
        calls.send(request, call.patience(), answer -> {
            CallerReply translated = translate(answer);
            if (!(translated instanceof CallerReply.Done) && !(translated instanceof CallerReply.State)) {
                LOGGER.atInfo().log(
                        "event=not_served job=%s request=%s reply=%s",
                        id, request.getClass().getSimpleName(), translated);
            }
            reply.accept(translated);
        });
    }

    private static boolean validId(String id) {
        if (id.length() != ID_LENGTH) {
            return false;
        }
        return id.chars().allMatch(each -> Character.digit(each, HEX) >= 0);
    }

    private static CallerReply translate(JobAnswer answer) {
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
