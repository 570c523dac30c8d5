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

/** The HTTP interface for operators: status, configuration, audit log, metrics, health, eviction and shutdown. */
public final class OperatorApi {

    private final PendingCalls pendingCalls;

    private final EntryMetrics metrics;

    private final AuditLog auditLog;

    private final Runnable drain;

    /**
     * Creates the interface.
     *
     * @param pendingCalls passes calls on to the core and answers them
     * @param metrics the metrics
     * @param auditLog the audit log
     * @param drain begins a graceful shutdown
     */
    public OperatorApi(PendingCalls pendingCalls, EntryMetrics metrics, AuditLog auditLog, Runnable drain) {
        this.pendingCalls = pendingCalls;
        this.metrics = metrics;
        this.auditLog = auditLog;
        this.drain = drain;
    }

    /**
     * Returns the routes of this interface.
     *
     * @return the routes
     */
    public HttpRoutes routes() {
        return new HttpRoutes()
                .on("GET", "/v1/status", this::showStatus)
                .on("GET", "/v1/config", this::showConfig)
                .on("PUT", "/v1/config", this::proposeConfig)
                .on("GET", "/v1/config/history", this::showConfigHistory)
                .on("GET", "/v1/audit", call -> call.answer(HttpReply.json(HttpReply.OK, auditLog.lines())))
                .on("POST", "/v1/jobs/{key}/evict", this::evictJob)
                .on("POST", "/v1/drain", this::beginDrain)
                .on("GET", "/metrics", this::showMetrics)
                .on("GET", "/health/live", call -> call.answer(HttpReply.text(HttpReply.OK, "live\n")))
                .on("GET", "/health/ready", this::showReadiness);
    }

    private void showStatus(HttpCall call) {
        pendingCalls.submit(
                call, new CallerRequest.ShowStatus(), answer -> HttpReply.json(HttpReply.OK, statusOf(answer)));
    }

    private void showReadiness(HttpCall call) {
        pendingCalls.submit(call, new CallerRequest.ShowStatus(), answer -> readinessReply(statusOf(answer)));
    }

    private static HttpReply readinessReply(NodeStatus status) {
        if (status.draining()) {
            return HttpReply.error(HttpReply.UNAVAILABLE, "draining");
        }
        if (status.configVersion() == 0) {
            return HttpReply.error(HttpReply.UNAVAILABLE, "no configuration yet");
        }
        return HttpReply.text(HttpReply.OK, "ready\n");
    }

    private void showMetrics(HttpCall call) {
        pendingCalls.submit(call, new CallerRequest.ShowStatus(), answer -> {
            metrics.updateGauges(statusOf(answer));
            return HttpReply.text(HttpReply.OK, metrics.text());
        });
    }

    private static NodeStatus statusOf(CallerAnswer answer) {
        return ((CallerAnswer.StatusShown) answer).status();
    }

    private void showConfig(HttpCall call) {
        pendingCalls.submit(call, new CallerRequest.ShowConfig(), answer -> {
            ConfigEnvelope envelope = ((CallerAnswer.ConfigShown) answer).envelope();
            return HttpReply.json(HttpReply.OK, new ConfigBody(envelope.version(), envelope.document()));
        });
    }

    private void showConfigHistory(HttpCall call) {
        pendingCalls.submit(call, new CallerRequest.ShowConfig(), answer -> {
            ConfigEnvelope envelope = ((CallerAnswer.ConfigShown) answer).envelope();
            return HttpReply.json(HttpReply.OK, envelope.changes());
        });
    }

    private void proposeConfig(HttpCall call) {
        CallerRequest request = new CallerRequest.ProposeConfig(
                call.text(), call.requiredLong("expected"), call.requiredParameter("who"));
        pendingCalls.submit(call, request, answer -> configReply(((CallerAnswer.ConfigAnswered) answer).outcome()));
    }

    private static HttpReply configReply(ConfigOutcome outcome) {
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

    private void evictJob(HttpCall call) {
        JobCommand command = new JobCommand.Evict(new IdempotencyKey(call.requiredParameter("key")));
        pendingCalls.submit(call, new CallerRequest.Job(command), CallerApi::jobReply);
    }

    private void beginDrain(HttpCall call) {
        drain.run();
        call.answer(HttpReply.json(HttpReply.ACCEPTED, List.of("draining")));
    }

    private record ConfigBody(long version, String document) {}

    private record VersionBody(long version) {}
}
