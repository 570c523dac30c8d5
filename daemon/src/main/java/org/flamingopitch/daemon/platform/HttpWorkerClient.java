package org.flamingopitch.daemon.platform;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.RequestId;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.WorkerId;
import org.flamingopitch.scheduler.model.WorkerSpec;
import org.flamingopitch.scheduler.worker.TaskReport;
import org.flamingopitch.scheduler.worker.UsageReport;
import org.flamingopitch.scheduler.worker.WorkerRequest;
import org.flamingopitch.scheduler.worker.WorkerResult;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpClient;
import org.flamingopitch.transport.http.HttpOutcome;
import org.flamingopitch.transport.http.HttpReply;
import org.flamingopitch.transport.http.HttpRequest;

/**
 * Calls workers over HTTP. It uses at most half of the connections that a worker accepts, because during a takeover the
 * former and the new owner of a rack may both be connected to its workers.
 */
public final class HttpWorkerClient {

    private static final String STEP = "worker.call";

    private static final Duration CONTROL_TIMEOUT = Duration.ofMillis(1_000);

    private static final int MAX_CONNECTED_OWNERS = 2;

    private static final byte[] NO_BODY = new byte[0];

    private final HttpClient http;

    private final TimeSource clock;

    private final ConcurrentMap<WorkerId, HostPort> addresses = new ConcurrentHashMap<>();

    /**
     * Creates a client.
     *
     * @param http the HTTP client
     * @param clock the clock
     */
    public HttpWorkerClient(HttpClient http, TimeSource clock) {
        this.http = http;
        this.clock = clock;
    }

    /**
     * Calls a worker.
     *
     * @param worker the worker
     * @param request the call
     * @param notAfter the call is not written to the connection after that time
     * @param handler receives the result exactly once
     */
    public void call(WorkerSpec worker, WorkerRequest request, Instant notAfter, Consumer<WorkerResult> handler) {
        HostPort address;
        try {
            address = HostPort.parse(worker.address());
        } catch (IllegalArgumentException e) {
            handler.accept(new WorkerResult.NotSent(new Failure(STEP, worker.address(), e.getMessage())));
            return;
        }
        addresses.put(worker.name(), address);
        int maxConnections = worker.connections() / MAX_CONNECTED_OWNERS;
        http.send(
                address,
                maxConnections,
                toOrder(request, notAfter),
                outcome -> handler.accept(toResult(request, outcome)));
    }

    /**
     * Closes the idle connections to a worker.
     *
     * @param worker the worker
     */
    public void release(WorkerId worker) {
        HostPort address = addresses.get(worker);
        if (address != null) {
            http.closeIdleConnections(address);
        }
    }

    private HttpRequest toOrder(WorkerRequest request, Instant notAfter) {
        if (request instanceof WorkerRequest.Execute execute) {
            String path = "/v1/requests?id=" + encode(execute.id().value()) + "&kind="
                    + encode(execute.kind().value());
            Duration executionTime = Duration.between(clock.now(), notAfter);
            Duration timeout = executionTime.plus(CONTROL_TIMEOUT);
            return new HttpRequest("POST", path, execute.payload().bytes(), timeout, notAfter)
                    .withServerWait(executionTime);
        }
        if (request instanceof WorkerRequest.StartTask) {
            return toJsonOrder("/v1/tasks", request, notAfter);
        }
        if (request instanceof WorkerRequest.CheckpointAndStop stop) {
            return toJsonOrder("/v1/tasks/checkpoint-and-stop", stop.task(), notAfter);
        }
        if (request instanceof WorkerRequest.Stop stop) {
            return toJsonOrder("/v1/tasks/stop", stop.task(), notAfter);
        }
        String path = request instanceof WorkerRequest.Throttle ? "/v1/tasks/throttle" : "/v1/report";
        return toJsonOrder(path, request, notAfter);
    }

    private static HttpRequest toJsonOrder(String path, Object body, Instant notAfter) {
        byte[] bytes = body == null ? NO_BODY : JsonCodec.json().encode(body).getBytes(StandardCharsets.UTF_8);
        return new HttpRequest("POST", path, bytes, CONTROL_TIMEOUT, notAfter);
    }

    private static WorkerResult toResult(WorkerRequest request, HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.NotSent notSent) {
            return new WorkerResult.NotSent(notSent.failure());
        }
        if (outcome instanceof HttpOutcome.Lost lost) {
            return new WorkerResult.Lost(lost.failure());
        }
        HttpOutcome.Answered answer = (HttpOutcome.Answered) outcome;
        try {
            return decode(request, answer);
        } catch (IllegalArgumentException e) {
            return new WorkerResult.Lost(new Failure(STEP, "worker", e.getMessage()));
        }
    }

    private static WorkerResult decode(WorkerRequest request, HttpOutcome.Answered answer) {
        if (request instanceof WorkerRequest.Execute) {
            return answer.success()
                    ? new WorkerResult.Executed(Payload.of(answer.body()))
                    : new WorkerResult.ExecutionFailed("status " + answer.status() + " " + answer.text());
        }
        if (request instanceof WorkerRequest.StartTask) {
            return decodeStartResult(answer);
        }
        if (answer.status() == HttpReply.NOT_FOUND) {
            return new WorkerResult.TaskMissing();
        }
        if (!answer.success()) {
            return new WorkerResult.Lost(new Failure(STEP, "worker", "status " + answer.status()));
        }
        if (request instanceof WorkerRequest.Report) {
            ReportBody body = JsonCodec.json().decode(answer.text(), ReportBody.class);
            UsageReport usage = new UsageReport(
                    body.usage().used(), Duration.ofMillis(body.usage().ageMillis()));
            return new WorkerResult.Reported(body.tasks(), body.requests(), body.connections(), usage);
        }
        return new WorkerResult.TaskChanged(JsonCodec.json().decode(answer.text(), TaskReport.class));
    }

    private static WorkerResult decodeStartResult(HttpOutcome.Answered answer) {
        if (answer.success()) {
            return new WorkerResult.TaskStarted();
        }
        if (answer.status() == HttpReply.CONFLICT || answer.status() == HttpReply.BAD_REQUEST) {
            return new WorkerResult.TaskRefused(answer.text());
        }
        return new WorkerResult.Lost(new Failure(STEP, "worker", "status " + answer.status()));
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private record UsageBody(Resources used, long ageMillis) {
        private UsageBody {
            Objects.requireNonNull(used, "used");
        }
    }

    private record ReportBody(List<TaskReport> tasks, List<RequestId> requests, int connections, UsageBody usage) {
        private ReportBody {
            tasks = List.copyOf(tasks);
            requests = List.copyOf(requests);
            Objects.requireNonNull(usage, "usage");
        }
    }
}
