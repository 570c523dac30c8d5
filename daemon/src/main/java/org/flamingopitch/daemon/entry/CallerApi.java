package org.flamingopitch.daemon.entry;

import java.util.Optional;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.message.JobAnswer;
import org.flamingopitch.scheduler.message.JobCommand;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.Reason;
import org.flamingopitch.scheduler.node.CallerAnswer;
import org.flamingopitch.scheduler.node.CallerRequest;
import org.flamingopitch.transport.http.HttpCall;
import org.flamingopitch.transport.http.HttpReply;
import org.flamingopitch.transport.http.HttpRoutes;

/** The HTTP interface for callers: urgent requests, idempotency keys and jobs. */
public final class CallerApi {

    private static final String KEY_HEADER = "Idempotency-Key";

    private static final String KEY_PARAMETER = "key";

    private static final int MAX_PAYLOAD_BYTES = 256 << 10;

    private final PendingCalls pendingCalls;

    /**
     * Creates the interface.
     *
     * @param pendingCalls passes calls on to the core and answers them
     */
    public CallerApi(PendingCalls pendingCalls) {
        this.pendingCalls = pendingCalls;
    }

    /**
     * Returns the routes of this interface.
     *
     * @return the routes
     */
    public HttpRoutes routes() {
        return new HttpRoutes()
                .on("POST", "/v1/run/{kind}", this::runUrgentRequest)
                .on("POST", "/v1/keys", this::issueKey)
                .on("POST", "/v1/jobs/{kind}", this::submitJob)
                .on("GET", "/v1/jobs/{key}", call -> sendJobCommand(call, new JobCommand.Query(keyInPath(call))))
                .on("DELETE", "/v1/jobs/{key}", call -> sendJobCommand(call, new JobCommand.CancelJob(keyInPath(call))))
                .on("GET", "/health", call -> call.answer(HttpReply.text(HttpReply.OK, "ok\n")));
    }

    static HttpReply jobReply(CallerAnswer answer) {
        JobAnswer jobAnswer = ((CallerAnswer.JobAnswered) answer).answer();
        if (jobAnswer instanceof JobAnswer.Known known) {
            return HttpReply.json(HttpReply.ACCEPTED, known.view());
        }
        if (jobAnswer instanceof JobAnswer.Refused refused) {
            return notRunReply(refused.reason(), refused.failure());
        }
        if (jobAnswer instanceof JobAnswer.Undecided undecided) {
            return unknownReply(undecided.failure());
        }
        return HttpReply.error(HttpReply.NOT_FOUND, "no such job");
    }

    private void runUrgentRequest(HttpCall call) {
        IdempotencyKey key = findKey(call).orElse(null);
        CallerRequest request =
                new CallerRequest.Run(new KindName(call.requiredParameter("kind")), key, readPayload(call));
        pendingCalls.submit(call, request, CallerApi::urgentReply);
    }

    private void issueKey(HttpCall call) {
        pendingCalls.submit(
                call,
                new CallerRequest.MintKey(),
                answer -> HttpReply.json(HttpReply.CREATED, new KeyBody(((CallerAnswer.KeyMinted) answer).key())));
    }

    private void submitJob(HttpCall call) {
        IdempotencyKey key = findKey(call)
                .orElseThrow(() -> new IllegalArgumentException("header \"" + KEY_HEADER + "\" is missing"));
        KindName kind = new KindName(call.requiredParameter("kind"));
        sendJobCommand(call, new JobCommand.Submit(key, kind, readPayload(call)));
    }

    private void sendJobCommand(HttpCall call, JobCommand command) {
        pendingCalls.submit(call, new CallerRequest.Job(command), CallerApi::jobReply);
    }

    private static Optional<IdempotencyKey> findKey(HttpCall call) {
        return call.header(KEY_HEADER).or(() -> call.parameter(KEY_PARAMETER)).map(IdempotencyKey::new);
    }

    private static IdempotencyKey keyInPath(HttpCall call) {
        return new IdempotencyKey(call.requiredParameter("key"));
    }

    private static Payload readPayload(HttpCall call) {
        if (call.body().length > MAX_PAYLOAD_BYTES) {
            throw new IllegalArgumentException("the body has more than " + MAX_PAYLOAD_BYTES + " bytes");
        }
        return Payload.of(call.body());
    }

    private static HttpReply urgentReply(CallerAnswer answer) {
        Outcome outcome = ((CallerAnswer.RunAnswer) answer).outcome();
        if (outcome instanceof Outcome.Done done) {
            return new HttpReply(
                    HttpReply.OK, "application/octet-stream", done.answer().bytes());
        }
        if (outcome instanceof Outcome.NotRun notRun) {
            return notRunReply(notRun.reason(), notRun.failure());
        }
        return unknownReply(((Outcome.Unknown) outcome).failure());
    }

    private static HttpReply notRunReply(Reason reason, Failure failure) {
        int status = reason == Reason.NOT_CONFIGURED || reason == Reason.DEFERRABLE_KIND
                ? HttpReply.NOT_FOUND
                : HttpReply.UNAVAILABLE;
        return HttpReply.json(
                status, new OutcomeBody("not-run", reason.name(), failure.step(), failure.peer(), failure.detail()));
    }

    private static HttpReply unknownReply(Failure failure) {
        return HttpReply.json(
                HttpReply.GATEWAY_TIMEOUT,
                new OutcomeBody("unknown", "UNKNOWN", failure.step(), failure.peer(), failure.detail()));
    }

    private record KeyBody(IdempotencyKey key) {}

    private record OutcomeBody(String outcome, String reason, String step, String peer, String detail) {}
}
