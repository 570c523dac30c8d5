package org.flamingopitch.standins.worker;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.coordination.supervisor.Service;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpCall;
import org.flamingopitch.transport.http.HttpReply;
import org.flamingopitch.transport.http.HttpRoutes;
import org.flamingopitch.transport.http.HttpServer;

/** Serves a {@link WorkerModel} over HTTP. */
public final class WorkerServer implements Service {

    private static final Duration USAGE_AGE = Duration.ofSeconds(1);

    private final String name;

    private final TimeSource clock;

    private final HttpServer http;

    private final WorkerModel model;

    private ScheduledExecutorService timer;

    /**
     * Creates the server.
     *
     * @param name the name of the worker
     * @param address the address to listen on
     * @param clock the clock that leases and work are measured with
     */
    public WorkerServer(String name, HostPort address, TimeSource clock) {
        this.name = name;
        this.clock = clock;
        this.model = new WorkerModel(name, USAGE_AGE);
        HttpRoutes routes = new HttpRoutes()
                .on("POST", "/v1/requests", this::handleRequest)
                .on("POST", "/v1/tasks", this::startTask)
                .on("POST", "/v1/tasks/checkpoint-and-stop", call -> stopTask(call, true))
                .on("POST", "/v1/tasks/stop", call -> stopTask(call, false))
                .on("POST", "/v1/tasks/throttle", this::throttle)
                .on("POST", "/v1/report", this::report)
                .on("GET", "/v1/log", this::log);
        this.http = new HttpServer(name, address, routes, 1);
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public void start() {
        timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, name + "-timer");
            thread.setDaemon(true);
            return thread;
        });
        http.start();
    }

    @Override
    public void stop() {
        if (timer != null) {
            timer.shutdownNow();
            timer = null;
        }
        http.stop();
    }

    /**
     * Returns the address that the server listens on.
     *
     * @return the address with the actual port
     */
    public HostPort address() {
        return http.boundAddress();
    }

    private synchronized void handleRequest(HttpCall call) {
        String id = call.requiredParameter("id");
        Duration duration = model.beginRequest(clock.now(), id, call.requiredParameter("kind"), call.body());
        if (duration.isZero()) {
            answerRequest(call, id);
            return;
        }
        timer.schedule(() -> answerRequest(call, id), duration.toMillis(), TimeUnit.MILLISECONDS);
    }

    private synchronized void answerRequest(HttpCall call, String id) {
        String answer = model.endRequest(clock.now(), id, call.body());
        call.answer(HttpReply.text(HttpReply.OK, answer));
    }

    private synchronized void startTask(HttpCall call) {
        TaskOrder order = JsonCodec.json().decode(call.text(), TaskOrder.class);
        Optional<String> refusal = model.start(clock.now(), order);
        call.answer(refusal.map(reason -> HttpReply.error(HttpReply.CONFLICT, reason))
                .orElseGet(() -> HttpReply.json(HttpReply.CREATED, order.task())));
    }

    private synchronized void stopTask(HttpCall call, boolean checkpoint) {
        TaskKey task = JsonCodec.json().decode(call.text(), TaskKey.class);
        answerTask(call, model.stop(clock.now(), task, checkpoint));
    }

    private synchronized void throttle(HttpCall call) {
        ThrottleBody body = JsonCodec.json().decode(call.text(), ThrottleBody.class);
        answerTask(call, model.throttle(clock.now(), body.task(), body.percent()));
    }

    private static void answerTask(HttpCall call, Optional<TaskView> view) {
        call.answer(view.map(found -> HttpReply.json(HttpReply.OK, found))
                .orElseGet(() -> HttpReply.error(HttpReply.NOT_FOUND, "no such task")));
    }

    private synchronized void report(HttpCall call) {
        ReportBody body = JsonCodec.json().decode(call.text(), ReportBody.class);
        WorkerView view =
                model.report(clock.now(), body.renewed(), body.leaseUntil(), body.acknowledged(), http.connections());
        call.answer(HttpReply.json(HttpReply.OK, view));
    }

    private synchronized void log(HttpCall call) {
        model.advance(clock.now());
        call.answer(HttpReply.json(HttpReply.OK, model.log()));
    }

    private record ReportBody(List<TaskKey> renewed, Instant leaseUntil, List<TaskKey> acknowledged) {}

    private record ThrottleBody(TaskKey task, int percent) {}
}
