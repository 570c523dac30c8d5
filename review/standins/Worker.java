package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A worker of the platform. A task runs for as long as the number at the end of its spec says, in milliseconds; 0 means
 * that it runs until it is stopped, and a negative number that it fails after that time.
 */
final class Worker {

    private static final int MAX_ENDS_IN_ANSWER = 500;

    private static final long STOP_MILLIS = 50;

    private final String id;

    private final String service;

    private final String zone;

    private final String rack;

    private final long cpu;

    private final long memMb;

    private final long maxHoldMillis;

    private final long heartbeatMillis;

    private final Store store;

    private final Record record;

    private final Ledger ledger;

    private final ExecutorService threads = Executors.newCachedThreadPool(Daemons::thread);

    private HttpServer server;

    private int port;

    private long born;

    private long bornNanos;

    private long sequence;

    private long fence;

    private long leaseEnd;

    private long lastEnd;

    private long lastSeen;

    private long lastBeatNanos;

    private final Map<String, Run> running = new LinkedHashMap<>();

    private final Map<String, Integer> closedRuns = new HashMap<>();

    private final List<End> ended = new ArrayList<>();

    Worker(
            String id,
            String service,
            String zone,
            String rack,
            long cpu,
            long memMb,
            long maxHoldMillis,
            long heartbeatMillis,
            Store store,
            Record record,
            Ledger ledger) {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.rack = rack;
        this.cpu = cpu;
        this.memMb = memMb;
        this.maxHoldMillis = maxHoldMillis;
        this.heartbeatMillis = heartbeatMillis;
        this.store = store;
        this.record = record;
        this.ledger = ledger;
        Daemons.repeat(5, this::tick);
    }

    String id() {
        return id;
    }

    /** Begins a life of the worker, at the port of its former one. */
    synchronized void start() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 0);
        port = server.getAddress().getPort();
        server.setExecutor(threads);
        HttpServer life = server;
        server.createContext("/", exchange -> Http.guard(exchange, () -> handle(life, exchange)));
        born = System.currentTimeMillis();
        bornNanos = System.nanoTime();
        fence = 0;
        leaseEnd = 0;
        lastEnd = 0;
        lastSeen = 0;
        running.clear();
        closedRuns.clear();
        ended.clear();
        server.start();
        record.line("worker %s: up, born %d", id, born);
        beat();
    }

    /** Ends the worker's life without a word. What ran there is gone, with the ends that it had listed. */
    void crash() {
        HttpServer life;
        synchronized (this) {
            life = server;
            server = null;
            running.values().forEach(run -> ledger.lost(run.task, run.number));
            record.line("worker %s: crashed, with %s", id, running.keySet());
            running.clear();
            notifyAll();
        }
        life.stop(0);
    }

    synchronized boolean up() {
        return server != null;
    }

    synchronized boolean runs(String task) {
        return running.values().stream().anyMatch(run -> run.task.equals(task));
    }

    synchronized int runCount() {
        return running.size();
    }

    private long clock() {
        return 1_000 + (System.nanoTime() - bornNanos) / 1_000_000;
    }

    private void beat() {
        lastBeatNanos = System.nanoTime();
        ObjectNode entry = Json.object()
                .put("service", service)
                .put("address", "127.0.0.1:" + port)
                .put("zone", zone)
                .put("version", "v1")
                .put("slots", 8)
                .put("state", "ready")
                .put("coldRemainingMs", 0);
        entry.putObject("capacity").put("cpu", cpu).put("memMb", memMb).put("gpu", 0);
        entry.putArray("labels").add("a").add(rack);
        entry.put("clockMs", clock()).put("sequence", ++sequence).put("born", born);
        store.put("servers/" + id, entry.toString());
    }

    private synchronized void tick() {
        if (server == null) {
            long silentMillis = (System.nanoTime() - lastBeatNanos) / 1_000_000;
            if (lastBeatNanos != 0 && silentMillis > 3 * heartbeatMillis) {
                store.delete("servers/" + id);
                lastBeatNanos = 0;
            }
            return;
        }
        if (System.nanoTime() - lastBeatNanos > heartbeatMillis * 1_000_000) {
            beat();
        }
        long now = System.nanoTime();
        boolean lapsed = !running.isEmpty() && clock() >= leaseEnd;
        if (lapsed) {
            record.line("worker %s: its lease has lapsed", id);
        }
        for (Run run : List.copyOf(running.values())) {
            if (lapsed) {
                end(run, "lapsed");
            } else if (run.stopAtNanos != 0 && now >= run.stopAtNanos) {
                end(run, "stopped");
            } else if (run.workMillis > 0 && now - run.startNanos >= run.workMillis * 1_000_000) {
                end(run, "done");
            } else if (run.workMillis < 0 && now - run.startNanos >= -run.workMillis * 1_000_000) {
                end(run, "failed");
            }
        }
    }

    private void end(Run run, String how) {
        running.remove(run.key());
        closedRuns.merge(run.task, run.number, Math::max);
        ended.add(new End(++lastEnd, run.task, run.number, how));
        ledger.ended(run.task, run.number, how, id);
        if (how.equals("lapsed")) {
            ledger.lapsed(id);
        }
        notifyAll();
    }

    private void handle(HttpServer life, HttpExchange exchange) throws IOException, InterruptedException {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        String path = exchange.getRequestURI().getPath();
        String expected = exchange.getRequestHeaders().getFirst("X-Flamingopitch-Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.answer(exchange, 421, Json.object());
            return;
        }
        if (path.equals("/health")) {
            Http.answer(exchange, 200, Json.object());
            return;
        }
        JsonNode body = Json.read(bytes);
        ObjectNode answer;
        synchronized (this) {
            if (life != server) {
                exchange.close();
                return;
            }
            long token = body.path("fencingToken").asLong(0);
            if (token < fence) {
                answer = answer().put("reason", "fence");
            } else {
                fence = token;
                if (path.equals("/run-start")) {
                    answer = startRun(body);
                } else if (path.equals("/run-stop")) {
                    answer = stopRun(body);
                } else if (path.equals("/hold")) {
                    answer = hold(life, body);
                } else {
                    answer = answer();
                }
            }
            if (life != server) {
                exchange.close();
                return;
            }
        }
        Http.answer(exchange, answer.has("reason") ? 409 : 200, answer);
    }

    private ObjectNode answer() {
        return Json.object().put("clockMs", clock());
    }

    private void extend(JsonNode body) {
        if (body.has("untilMs")) {
            leaseEnd = Math.max(leaseEnd, Math.min(body.path("untilMs").asLong(), clock() + maxHoldMillis));
        }
    }

    private ObjectNode startRun(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        String key = task + "/" + number;
        if (running.containsKey(key)) {
            extend(body);
            return answer();
        }
        if (number <= closedRuns.getOrDefault(task, 0)) {
            extend(body);
            return answer().put("reason", "old");
        }
        if (body.path("untilMs").asLong() <= clock()) {
            return answer().put("reason", "late");
        }
        extend(body);
        String spec = body.path("spec").asText();
        running.put(key, new Run(task, number, Long.parseLong(spec.substring(spec.lastIndexOf(' ') + 1))));
        ledger.started(task, number, id, spec);
        return answer();
    }

    private ObjectNode stopRun(JsonNode body) {
        String task = body.path("task").asText();
        int number = body.path("run").asInt();
        Run run = running.get(task + "/" + number);
        if (run == null) {
            closedRuns.merge(task, number, Math::max);
        } else if (run.stopAtNanos == 0) {
            run.stopAtNanos = System.nanoTime() + STOP_MILLIS * 1_000_000;
        }
        return answer();
    }

    private ObjectNode hold(HttpServer life, JsonNode body) throws InterruptedException {
        extend(body);
        long seen = body.path("lastSeen").asLong(0);
        if (seen > lastSeen) {
            lastSeen = seen;
            for (End end : List.copyOf(ended)) {
                if (end.number <= seen) {
                    ledger.noted(end.task, end.run, end.how, id);
                    ended.remove(end);
                }
            }
        }
        long until = System.nanoTime() + body.path("waitMs").asLong(0) * 1_000_000;
        while (life == server && ended.isEmpty() && System.nanoTime() < until) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        }
        ObjectNode answer = answer().put("born", born);
        ArrayNode rows = answer.putArray("running");
        for (Run run : running.values()) {
            double done = run.workMillis <= 0 ? 100 : (System.nanoTime() - run.startNanos) / 1e4 / run.workMillis;
            rows.addArray().add(run.task).add(run.number).add("").add((int) Math.min(99, done)).add(10);
        }
        ArrayNode ends = answer.putArray("ended");
        ended.stream().limit(MAX_ENDS_IN_ANSWER).forEach(end ->
                ends.addArray().add(end.number).add(end.task).add(end.run).add(end.how).add(""));
        if (ended.size() > MAX_ENDS_IN_ANSWER) {
            record.line("worker %s: lists %d of %d ends", id, MAX_ENDS_IN_ANSWER, ended.size());
        }
        return answer;
    }

    private static final class Run {

        private final String task;

        private final int number;

        private final long workMillis;

        private final long startNanos = System.nanoTime();

        private long stopAtNanos;

        private Run(String task, int number, long workMillis) {
            this.task = task;
            this.number = number;
            this.workMillis = workMillis;
        }

        private String key() {
            return task + "/" + number;
        }
    }

    private record End(long number, String task, int run, String how) {}
}
