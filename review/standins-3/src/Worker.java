import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** A worker of the users' platform. It may end and start again, under its id or under another one. */
final class Worker {

    static final long HEARTBEAT_MILLIS = 1_100;

    static final long MAX_HOLD_MILLIS = 6_000;

    private static final long STOP_MILLIS = 100;

    private static final int ENDS_IN_ANSWER = 500;

    /** Tasks with at least this work last; they report the tail of their response times, 2 ms. */
    private static final long LASTING_WORK = 1_000_000;

    /** Is told what the worker does, while the worker's lock is held. */
    interface Listener {

        default void started(Worker worker, Run run) {}

        default void ended(Worker worker, Run run, String how) {}
    }

    /** Where the worker's process listens. */
    private final InetSocketAddress address;

    /** The network before it; its port is in the worker's entry. */
    final Link link;

    private final Store store;

    private final Record record;

    private final Listener listener;

    private final String service;

    private final String rack;

    String id;

    int cpu;

    /** Whether the worker answers each start with 503, and has then done nothing. */
    volatile boolean failStarts;

    private String kind;

    private HttpServer server;

    private boolean draining;

    /** Null while the worker is down. */
    private Life life;

    Worker(String id, int cpu, String kind, String rack, String service, Store store, Record record, Listener listener)
            throws IOException {
        this.id = id;
        this.cpu = cpu;
        this.kind = kind;
        this.rack = rack;
        this.service = service;
        this.store = store;
        this.record = record;
        this.listener = listener;
        try (java.net.ServerSocket socket = new java.net.ServerSocket(0, 1, java.net.InetAddress.getByName("127.0.0.1"))) {
            address = new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
        link = new Link(address);
    }

    /** Starts a new life: registers, then listens. It may have the id of the former one. */
    synchronized void start(String newId, int newCpu, String newKind) throws IOException {
        id = newId;
        cpu = newCpu;
        kind = newKind;
        Life started = new Life();
        life = started;
        record.line("worker %s: starts, born %d, cpu %d, kind %s", id, started.born, cpu, kind);
        register(started);
        server = HttpServer.create(address, 0);
        server.setExecutor(Executors.newCachedThreadPool(Daemon::thread));
        server.createContext("/", exchange -> handle(started, exchange));
        server.start();
        Daemon.thread(() -> {
                    while (life == started) {
                        Daemon.pause(20);
                        step(started);
                    }
                })
                .start();
        Daemon.thread(() -> {
                    while (true) {
                        Daemon.pause(HEARTBEAT_MILLIS);
                        synchronized (this) {
                            if (life != started) {
                                return;
                            }
                            register(started);
                        }
                    }
                })
                .start();
    }

    /** Ends the worker's process: its connections are reset and everything on it ends. */
    void crash() {
        HttpServer ended;
        synchronized (this) {
            if (life == null) {
                return;
            }
            record.line("worker %s: crashes with %s", id, life.running.keySet());
            life.running.values().forEach(run -> listener.ended(this, run, "crash"));
            life = null;
            ended = server;
            notifyAll();
        }
        ended.stop(0);
    }

    /** The worker is emptied: it reports that it drains, serves on for a time, and then leaves for good. */
    void leave(long drainMillis) {
        synchronized (this) {
            draining = true;
            register(life);
            record.line("worker %s: drains", id);
        }
        Daemon.pause(drainMillis);
        crash();
        store.delete("servers/" + id);
        record.line("worker %s: has left", id);
    }

    synchronized String kind() {
        return kind;
    }

    synchronized boolean up() {
        return life != null;
    }

    synchronized int used() {
        int sum = 0;
        if (life != null) {
            for (Run run : life.running.values()) {
                sum += run.cpu;
            }
        }
        return sum;
    }

    private void register(Life now) {
        now.sequence++;
        ObjectNode entry = Json.object()
                .put("service", service)
                .put("address", "127.0.0.1:" + link.port())
                .put("zone", "kol-saltlake")
                .put("version", "v1")
                .put("slots", 8)
                .put("state", draining ? "draining" : "ready")
                .put("coldRemainingMs", 0)
                .put("clockMs", now.clock())
                .put("born", now.born)
                .put("sequence", now.sequence);
        entry.putObject("capacity").put("cpu", cpu).put("memMb", cpu * 4).put("gpu", 0);
        entry.putArray("labels").add(kind).add(rack);
        store.put("servers/" + id, entry.toString());
    }

    private synchronized void step(Life now) {
        if (life != now) {
            return;
        }
        boolean lapsed = now.clock() >= now.until;
        for (Run run : List.copyOf(now.running.values())) {
            long ran = Record.now() - run.startedAt;
            if (run.stopAt > 0 && Record.now() >= run.stopAt) {
                end(now, run, "stopped");
            } else if (lapsed) {
                end(now, run, "lapsed");
            } else if (ran >= run.work && run.stopAt == 0) {
                end(now, run, run.fails ? "failed" : "done");
            }
        }
    }

    private void end(Life now, Run run, String how) {
        now.running.remove(run.task);
        now.lastEnd++;
        now.ended.add(new End(now.lastEnd, run, how));
        now.highest.merge(run.task, run.run, Math::max);
        record.line("worker %s: end %d, %s run %d %s", id, now.lastEnd, run.task, run.run, how);
        listener.ended(this, run, how);
        notifyAll();
    }

    private void handle(Life now, HttpExchange exchange) throws IOException {
        JsonNode body = Json.read(exchange.getRequestBody().readAllBytes());
        String path = exchange.getRequestURI().getPath();
        String expected = exchange.getRequestHeaders().getFirst("X-Flamingopitch-Expected-Instance");
        if (path.equals("/health")) {
            Json.answer(exchange, 200, null);
            return;
        }
        int status;
        ObjectNode answer = Json.object();
        synchronized (this) {
            if (life != now) {
                exchange.close();
                return;
            }
            if (expected != null && !expected.equals(id)) {
                status = 421;
            } else if (failStarts && path.equals("/run-start")) {
                status = 503;
            } else if (body.path("fencingToken").longValue() < now.fence) {
                status = 409;
                answer.put("reason", "fence");
            } else {
                now.fence = body.path("fencingToken").longValue();
                status = switch (path) {
                    case "/run-start" -> startRun(now, body, answer);
                    case "/run-stop" -> stopRun(now, body);
                    case "/hold" -> hold(now, body, answer);
                    case "/pace" -> 200;
                    default -> 404;
                };
            }
            if (life != now) {
                exchange.close();
                return;
            }
            answer.put("clockMs", now.clock());
        }
        Json.answer(exchange, status, answer);
    }

    private void extend(Life now, JsonNode body) {
        if (body.hasNonNull("untilMs")) {
            long until = Math.min(body.path("untilMs").longValue(), now.clock() + MAX_HOLD_MILLIS);
            now.until = Math.max(now.until, until);
        }
    }

    private int startRun(Life now, JsonNode body, ObjectNode answer) {
        String task = body.path("task").textValue();
        int number = body.path("run").intValue();
        Run present = now.running.get(task);
        if (present != null && present.run == number) {
            extend(now, body);
            return 200;
        }
        if (number <= now.highest.getOrDefault(task, 0) || present != null && number < present.run) {
            extend(now, body);
            answer.put("reason", "old");
            return 409;
        }
        if (body.path("untilMs").longValue() <= now.clock()) {
            answer.put("reason", "late");
            return 409;
        }
        extend(now, body);
        Run run = new Run(task, number, body.path("spec").textValue());
        now.running.put(task, run);
        record.line(
                "worker %s: start %s run %d, fence %d, cpu %d of %d in use",
                id, task, number, now.fence, usedBy(now), cpu);
        listener.started(this, run);
        return 200;
    }

    private static int usedBy(Life now) {
        return now.running.values().stream().mapToInt(run -> run.cpu).sum();
    }

    private int stopRun(Life now, JsonNode body) {
        String task = body.path("task").textValue();
        int number = body.path("run").intValue();
        Run present = now.running.get(task);
        if (present != null && present.run == number && present.stopAt == 0) {
            present.stopAt = Record.now() + STOP_MILLIS;
        }
        now.highest.merge(task, number, Math::max);
        return 200;
    }

    private int hold(Life now, JsonNode body, ObjectNode answer) {
        long seen = body.path("lastSeen").longValue();
        for (End end : List.copyOf(now.ended)) {
            if (end.number <= seen) {
                now.ended.remove(end);
                record.line("worker %s: lastSeen %d takes note of end %d, %s run %d %s",
                        id, seen, end.number, end.run.task, end.run.run, end.how);
            }
        }
        extend(now, body);
        long end = Record.now() + Math.min(2_000, body.path("waitMs").longValue());
        while (life == now && now.ended.isEmpty() && Record.now() < end) {
            try {
                wait(end - Record.now());
            } catch (InterruptedException e) {
                return 503;
            }
        }
        answer.put("born", now.born);
        ArrayNode running = answer.putArray("running");
        for (Run run : now.running.values()) {
            boolean lasts = run.work >= LASTING_WORK;
            long percent = lasts ? 100 : Math.min(99, (Record.now() - run.startedAt) * 100 / Math.max(1, run.work));
            running.addArray().add(run.task).add(run.run).add("").add(percent).add(lasts ? 2 : run.cpu);
        }
        ArrayNode ended = answer.putArray("ended");
        now.ended.stream()
                .limit(ENDS_IN_ANSWER)
                .forEach(each -> ended.addArray()
                        .add(each.number)
                        .add(each.run.task)
                        .add(each.run.run)
                        .add(each.how)
                        .add(""));
        return 200;
    }

    /** A start of a task. What it does is said by its spec: "work MILLIS cpu MILLICORES" and, if it fails, "fail". */
    static final class Run {

        final String task;

        final int run;

        final long work;

        final int cpu;

        final boolean fails;

        final long startedAt = Record.now();

        private long stopAt;

        private Run(String task, int run, String spec) {
            String[] words = spec.split(" ");
            this.task = task;
            this.run = run;
            this.work = Long.parseLong(words[1]);
            this.cpu = Integer.parseInt(words[3]);
            this.fails = words.length > 4;
        }
    }

    private record End(long number, Run run, String how) {}

    private static final class Life {

        private final long born = System.currentTimeMillis();

        private final long startedAt = Record.now();

        private final Map<String, Run> running = new LinkedHashMap<>();

        private final List<End> ended = new ArrayList<>();

        private final Map<String, Integer> highest = new HashMap<>();

        private long lastEnd;

        private long fence;

        private long until;

        private int sequence;

        private long clock() {
            return Record.now() - startedAt + 1_000;
        }
    }
}
