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

/** What callers see: urgent requests, idempotency keys and jobs. */
public final class CallerApi {

    private static final String KEY_HEADER = "Idempotency-Key";

    private static final String KEY_PARAMETER = "key";

    private static final int MAX_PAYLOAD_BYTES = 256 << 10;

    private final CallerRegistry callers;

    /**
     * Creates the interface.
     *
     * @param callers passes calls on to the core
     */
    public CallerApi(CallerRegistry callers) {
        this.callers = callers;
    }

    /**
     * Returns the paths.
     *
     * @return the routes
     */
    public HttpRoutes routes() {
        return new HttpRoutes()
                .on("POST", "/v1/run/{kind}", this::run)
                .on("POST", "/v1/keys", this::mintKey)
                .on("POST", "/v1/jobs/{kind}", this::submit)
                .on("GET", "/v1/jobs/{key}", call -> job(call, new JobCommand.Query(pathKey(call))))
                .on("DELETE", "/v1/jobs/{key}", call -> job(call, new JobCommand.CancelJob(pathKey(call))))
                .on("GET", "/health", call -> call.answer(HttpReply.text(HttpReply.OK, "ok\n")));
    }

    static HttpReply jobReply(CallerAnswer answer) {
        JobAnswer jobAnswer = ((CallerAnswer.JobAnswered) answer).answer();
        if (jobAnswer instanceof JobAnswer.Known known) {
            return HttpReply.json(HttpReply.ACCEPTED, known.view());
        }
        if (jobAnswer instanceof JobAnswer.Refused refused) {
            return notRun(refused.reason(), refused.failure());
        }
        if (jobAnswer instanceof JobAnswer.Undecided undecided) {
            return unknown(undecided.failure());
        }
        return HttpReply.error(HttpReply.NOT_FOUND, "no such job");
    }

    private void run(HttpCall call) {
        IdempotencyKey key = key(call).orElse(null);
        CallerRequest request = new CallerRequest.Run(new KindName(call.required("kind")), key, payload(call));
        callers.ask(call, request, CallerApi::runReply);
    }

    private void mintKey(HttpCall call) {
        callers.ask(
                call,
                new CallerRequest.MintKey(),
                answer -> HttpReply.json(HttpReply.CREATED, new KeyBody(((CallerAnswer.KeyMinted) answer).key())));
    }

    private void submit(HttpCall call) {
        IdempotencyKey key =
                key(call).orElseThrow(() -> new IllegalArgumentException("header \"" + KEY_HEADER + "\" is missing"));
        KindName kind = new KindName(call.required("kind"));
        job(call, new JobCommand.Submit(key, kind, payload(call)));
    }

    private void job(HttpCall call, JobCommand command) {
        callers.ask(call, new CallerRequest.Job(command), CallerApi::jobReply);
    }

    private static Optional<IdempotencyKey> key(HttpCall call) {
        return call.header(KEY_HEADER).or(() -> call.parameter(KEY_PARAMETER)).map(IdempotencyKey::new);
    }

    private static IdempotencyKey pathKey(HttpCall call) {
        return new IdempotencyKey(call.required("key"));
    }

    private static Payload payload(HttpCall call) {
        if (call.body().length > MAX_PAYLOAD_BYTES) {
            throw new IllegalArgumentException("the body has more than " + MAX_PAYLOAD_BYTES + " bytes");
        }
        return Payload.of(call.body());
    }

    private static HttpReply runReply(CallerAnswer answer) {
        Outcome outcome = ((CallerAnswer.RunAnswer) answer).outcome();
        if (outcome instanceof Outcome.Done done) {
            return new HttpReply(
                    HttpReply.OK, "application/octet-stream", done.answer().bytes());
        }
        if (outcome instanceof Outcome.NotRun notRun) {
            return notRun(notRun.reason(), notRun.failure());
        }
        return unknown(((Outcome.Unknown) outcome).failure());
    }

    private static HttpReply notRun(Reason reason, Failure failure) {
        int status = reason == Reason.NOT_CONFIGURED || reason == Reason.DEFERRABLE_KIND
                ? HttpReply.NOT_FOUND
                : HttpReply.UNAVAILABLE;
        return HttpReply.json(
                status, new OutcomeBody("not-run", reason.name(), failure.step(), failure.peer(), failure.detail()));
    }

    private static HttpReply unknown(Failure failure) {
        return HttpReply.json(
                HttpReply.GATEWAY_TIMEOUT,
                new OutcomeBody("unknown", "UNKNOWN", failure.step(), failure.peer(), failure.detail()));
    }

    private record KeyBody(IdempotencyKey key) {}

    private record OutcomeBody(String outcome, String reason, String step, String peer, String detail) {}
}
