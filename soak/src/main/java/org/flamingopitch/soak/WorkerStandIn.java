package org.flamingopitch.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A worker of the platform, which guards no capacity of its own. Reports what it runs to the {@link Ledger}. */
final class WorkerStandIn {

    static final int CPU = 16_000;

    private static final int MEMORY_MB = 64_000;

    private static final int MAX_ENDS_IN_ANSWER = 500;

    private static final long STOP_MILLIS = 50;

    private static final long TICK_MILLIS = 5;

    private static final long MAX_HOLD_MILLIS = 6_000;

    private static final long HEARTBEAT_MILLIS = 1_100;

    private static final int HEARTBEATS_UNTIL_REMOVED = 3;

    private final WorkerId id;

    private final String rack;

    private final StoreStandIn store;

    private final Ledger ledger;

    private final Timeline timeline;

    private final ExecutorService threads;

    private final LoopbackProxy link;

    private StandInServer server;

    private int port;

    private long born;

    private long bornAt;

    private long sequence;

    private long fence;

    private long leaseEnd;

    private boolean lapseReported;

    private long lastEnd;

    private long lastSeen;

    private long lastBeat;

    private final Map<String, Run> running = new LinkedHashMap<>();

    private final Map<TaskId, Integer> closedRuns = new HashMap<>();

    private final List<End> ended = new ArrayList<>();

    WorkerStandIn(
            WorkerId id, String rack, StoreStandIn store, Ledger ledger, Timeline timeline, ExecutorService threads)
            throws IOException {
        this.id = id;
        this.rack = rack;
        this.store = store;
        this.ledger = ledger;
        this.timeline = timeline;
        this.threads = threads;
        this.link = new LoopbackProxy(timeline, threads, this::port);
    }

    void start(ScheduledExecutorService timer) throws IOException {
        link.start();
        begin();
        timer.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    void stop() throws IOException {
        crash();
        link.stop();
    }

    WorkerId id() {
        return id;
    }

    /** Returns the link between the hosts and this worker. */
    LoopbackProxy link() {
        return link;
    }

    private synchronized int port() {
        return port;
    }

    /** Begins a life of the worker under its id, unless it lives. */
    synchronized void begin() throws IOException {
        if (server != null) {
            return;
        }
        server = StandInServer.start(port, threads, this::handle);
        port = server.port();
        born = timeline.epochMillis();
        bornAt = timeline.millis();
        sequence = 0;
        fence = 0;
        leaseEnd = 0;
        lapseReported = true;
        lastEnd = 0;
        lastSeen = 0;
        closedRuns.clear();
        ended.clear();
        beat();
    }

    /** Ends the worker's life. What ran there is gone, with the ends that it had listed. */
    void crash() {
        StandInServer life;
        synchronized (this) {
            life = server;
            server = null;
            running.clear();
            ledger.crashed(id);
            notifyAll();
        }
        if (life != null) {
            life.stop();
        }
    }

    private long clock() {
        return 1_000 + timeline.millis() - bornAt;
    }

    private void beat() {
        lastBeat = timeline.millis();
        sequence++;
        ObjectNode entry = Json.object()
                .put("service", Deployment.SERVICE)
                .put("address", "127.0.0.1:" + link.port())
                .put("zone", Deployment.ZONE)
                .put("version", "v1")
                .put("slots", 8)
                .put("state", "ready")
                .put("coldRemainingMs", 0);
        entry.putObject("capacity").put("cpu", CPU).put("memMb", MEMORY_MB).put("gpu", 0);
        entry.putArray("labels").add("a").add(rack);
        entry.put("clockMs", clock()).put("sequence", sequence).put("born", born);
        store.put("servers/" + id.text(), entry.toString());
    }

    private synchronized void tick() {
        long now = timeline.millis();
        if (server == null) {
            if (now - lastBeat > HEARTBEATS_UNTIL_REMOVED * HEARTBEAT_MILLIS) {
                store.delete("servers/" + id.text());
            }
            return;
        }
        if (now - lastBeat > HEARTBEAT_MILLIS) {
            beat();
        }
        boolean lapsed = clock() >= leaseEnd;
        if (lapsed && !lapseReported) {
            lapseReported = true;
            ledger.lapsed(id);
        }
        for (Run run : List.copyOf(running.values())) {
            if (lapsed) {
                end(run, "lapsed");
            } else if (run.stopAt != 0 && now >= run.stopAt) {
                end(run, "stopped");
            } else if (run.behaviour != TaskBehaviour.LASTS && now - run.startAt >= run.workMillis) {
                end(run, run.behaviour.fails(run.number) ? "failed" : "done");
            }
        }
    }

    private void end(Run run, String how) {
        running.remove(run.key());
        closedRuns.merge(run.task, run.number, Math::max);
        lastEnd++;
        ended.add(new End(lastEnd, run.task, run.number, how));
        ledger.ended(id, run.task, run.number, how);
        notifyAll();
    }

    private void handle(StandInServer life, HttpExchange exchange) throws IOException, InterruptedException {
        JsonNode body = Json.read(exchange.getRequestBody().readAllBytes());
        String path = exchange.getRequestURI().getPath();
        String expected = exchange.getRequestHeaders().getFirst("X-Flamingopitch-Expected-Instance");
        if (expected != null && !expected.equals(id.text())) {
            StandInServer.answer(exchange, 421, Json.object());
            return;
        }
        ObjectNode answer;
        synchronized (this) {
            answer = life == server ? execute(life, path, body) : null;
            if (life != server) {
                exchange.close();
                return;
            }
        }
        StandInServer.answer(exchange, answer.has("reason") ? 409 : 200, answer);
    }

    private ObjectNode execute(StandInServer life, String path, JsonNode body) throws InterruptedException {
        if (path.equals("/health")) {
            return answer();
        }
        long token = body.path("fencingToken").asLong(0);
        ledger.ordered(id, token, token < fence);
        if (token < fence) {
            return answer().put("reason", "fence");
        }
        fence = token;
        return switch (path) {
            case "/run-start" -> startRun(body);
            case "/run-stop" -> stopRun(body);
            case "/hold" -> hold(life, body);
            default -> answer();
        };
    }

    private ObjectNode answer() {
        return Json.object().put("clockMs", clock());
    }

    private void extendLease(JsonNode body) {
        long until = Math.min(body.path("untilMs").asLong(), clock() + MAX_HOLD_MILLIS);
        if (until > leaseEnd) {
            leaseEnd = until;
            lapseReported = false;
        }
    }

    private ObjectNode startRun(JsonNode body) {
        TaskId task = new TaskId(body.path("task").asText());
        int number = body.path("run").asInt();
        if (running.containsKey(Run.key(task, number))) {
            extendLease(body);
            return answer();
        }
        if (number <= closedRuns.getOrDefault(task, 0)) {
            extendLease(body);
            return answer().put("reason", "old");
        }
        if (body.path("untilMs").asLong() <= clock()) {
            return answer().put("reason", "late");
        }
        extendLease(body);
        String spec = body.path("spec").asText();
        Run run = new Run(task, number, JobPlan.behaviourOf(spec), JobPlan.taskMillisOf(spec), timeline.millis());
        running.put(run.key(), run);
        ledger.started(id, task, number, spec, body.path("lastCheckpoint").asText(""));
        return answer();
    }

    private ObjectNode stopRun(JsonNode body) {
        TaskId task = new TaskId(body.path("task").asText());
        int number = body.path("run").asInt();
        Run run = running.get(Run.key(task, number));
        if (run == null) {
            closedRuns.merge(task, number, Math::max);
        } else if (run.stopAt == 0) {
            run.stopAt = timeline.millis() + STOP_MILLIS;
        }
        return answer();
    }

    private ObjectNode hold(StandInServer life, JsonNode body) throws InterruptedException {
        extendLease(body);
        long seen = body.path("lastSeen").asLong(0);
        if (seen > lastSeen) {
            lastSeen = seen;
            for (End end : List.copyOf(ended)) {
                if (end.number <= seen) {
                    ledger.noted(id, end.task, end.run);
                    ended.remove(end);
                }
            }
        }
        long until = timeline.millis() + body.path("waitMs").asLong(0);
        while (life == server && ended.isEmpty() && timeline.millis() < until) {
            wait(Math.max(1, until - timeline.millis()));
        }
        ObjectNode answer = answer().put("born", born);
        ArrayNode rows = answer.putArray("running");
        for (Run run : running.values()) {
            boolean lasts = run.behaviour == TaskBehaviour.LASTS;
            long percent = lasts ? 100 : Math.min(99, (timeline.millis() - run.startAt) * 100 / run.workMillis);
            rows.addArray()
                    .add(run.task.text())
                    .add(run.number)
                    .add("")
                    .add(percent)
                    .add(10);
        }
        ArrayNode ends = answer.putArray("ended");
        ended.stream()
                .limit(MAX_ENDS_IN_ANSWER)
                .forEach(end -> ends.addArray()
                        .add(end.number)
                        .add(end.task.text())
                        .add(end.run)
                        .add(end.how)
                        .add(""));
        return answer;
    }

    private static final class Run {

        private final TaskId task;

        private final int number;

        private final TaskBehaviour behaviour;

        private final long workMillis;

        private final long startAt;

        private long stopAt;

        private Run(TaskId task, int number, TaskBehaviour behaviour, long workMillis, long startAt) {
            this.task = task;
            this.number = number;
            this.behaviour = behaviour;
            this.workMillis = workMillis;
            this.startAt = startAt;
        }

        private static String key(TaskId task, int number) {
            return task.text() + "/" + number;
        }

        private String key() {
            return key(task, number);
        }
    }

    private record End(long number, TaskId task, int run, String how) {}
}
