package org.flamingopitch.daemon.entry;

import java.util.List;
import org.flamingopitch.coordination.config.ConfigEnvelope;
import org.flamingopitch.coordination.config.ConfigOutcome;
import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.message.JobCommand;
import org.flamingopitch.scheduler.node.CallerAnswer;
import org.flamingopitch.scheduler.node.CallerRequest;
import org.flamingopitch.scheduler.node.NodeStatus;
import org.flamingopitch.transport.http.HttpCall;
import org.flamingopitch.transport.http.HttpReply;
import org.flamingopitch.transport.http.HttpRoutes;

/** What operators see: status, configuration, audit trail, metrics, eviction and shutdown. */
public final class OperatorApi {

    private final CallerRegistry callers;

    private final EntryMetrics metrics;

    private final AuditLog audit;

    private final Runnable drain;

    /**
     * Creates the interface.
     *
     * @param callers passes calls on to the core
     * @param metrics the metrics
     * @param audit the audit trail
     * @param drain begins a shutdown
     */
    public OperatorApi(CallerRegistry callers, EntryMetrics metrics, AuditLog audit, Runnable drain) {
        this.callers = callers;
        this.metrics = metrics;
        this.audit = audit;
        this.drain = drain;
    }

    /**
     * Returns the paths.
     *
     * @return the routes
     */
    public HttpRoutes routes() {
        return new HttpRoutes()
                .on("GET", "/v1/status", this::status)
                .on("GET", "/v1/config", this::showConfig)
                .on("PUT", "/v1/config", this::proposeConfig)
                .on("GET", "/v1/config/history", this::history)
                .on("GET", "/v1/audit", call -> call.answer(HttpReply.json(HttpReply.OK, audit.lines())))
                .on("POST", "/v1/jobs/{key}/evict", this::evict)
                .on("POST", "/v1/drain", this::drain)
                .on("GET", "/metrics", this::metrics)
                .on("GET", "/health/live", call -> call.answer(HttpReply.text(HttpReply.OK, "live\n")))
                .on("GET", "/health/ready", this::ready);
    }

    private void status(HttpCall call) {
        callers.ask(call, new CallerRequest.ShowStatus(), answer -> HttpReply.json(HttpReply.OK, statusOf(answer)));
    }

    private void ready(HttpCall call) {
        callers.ask(call, new CallerRequest.ShowStatus(), answer -> readyReply(statusOf(answer)));
    }

    private static HttpReply readyReply(NodeStatus status) {
        if (status.draining()) {
            return HttpReply.error(HttpReply.UNAVAILABLE, "draining");
        }
        if (status.configVersion() == 0) {
            return HttpReply.error(HttpReply.UNAVAILABLE, "no configuration yet");
        }
        return HttpReply.text(HttpReply.OK, "ready\n");
    }

    private void metrics(HttpCall call) {
        callers.ask(call, new CallerRequest.ShowStatus(), answer -> {
            metrics.update(statusOf(answer));
            return HttpReply.text(HttpReply.OK, metrics.text());
        });
    }

    private static NodeStatus statusOf(CallerAnswer answer) {
        return ((CallerAnswer.StatusShown) answer).status();
    }

    private void showConfig(HttpCall call) {
        callers.ask(call, new CallerRequest.ShowConfig(), answer -> {
            ConfigEnvelope envelope = ((CallerAnswer.ConfigShown) answer).envelope();
            return HttpReply.json(HttpReply.OK, new ConfigBody(envelope.version(), envelope.document()));
        });
    }

    private void history(HttpCall call) {
        callers.ask(call, new CallerRequest.ShowConfig(), answer -> {
            ConfigEnvelope envelope = ((CallerAnswer.ConfigShown) answer).envelope();
            return HttpReply.json(HttpReply.OK, envelope.changes());
        });
    }

    private void proposeConfig(HttpCall call) {
        CallerRequest request =
                new CallerRequest.ProposeConfig(call.text(), call.requiredNumber("expected"), call.required("who"));
        callers.ask(call, request, answer -> outcomeReply(((CallerAnswer.ConfigAnswered) answer).outcome()));
    }

    private static HttpReply outcomeReply(ConfigOutcome outcome) {
        if (outcome instanceof ConfigOutcome.Accepted accepted) {
            return HttpReply.json(HttpReply.OK, new VersionBody(accepted.version()));
        }
        if (outcome instanceof ConfigOutcome.VersionConflict conflict) {
            return HttpReply.error(
                    HttpReply.CONFLICT,
                    "another change came first; the version in force is " + conflict.currentVersion());
        }
        if (outcome instanceof ConfigOutcome.Invalid invalid) {
            return HttpReply.error(HttpReply.BAD_REQUEST, invalid.reason());
        }
        return HttpReply.error(
                HttpReply.GATEWAY_TIMEOUT,
                "undecided, look at the history: " + ((ConfigOutcome.Undecided) outcome).failure());
    }

    private void evict(HttpCall call) {
        JobCommand command = new JobCommand.Evict(new IdempotencyKey(call.required("key")));
        callers.ask(call, new CallerRequest.Job(command), CallerApi::jobReply);
    }

    private void drain(HttpCall call) {
        drain.run();
        call.answer(HttpReply.json(HttpReply.ACCEPTED, List.of("draining")));
    }

    private record ConfigBody(long version, String document) {}

    private record VersionBody(long version) {}
}
