import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker of the platform: runs tasks under a lease, keeps their ends until they are seen, and registers itself in the
 * store. The text "work=N" in a task's spec makes the task take N milliseconds; "lasts" makes it run until it is stopped.
 */
final class Worker {

    private static final long MAX_HOLD_MILLIS = 6_000;

    private static final long STOP_MILLIS = 50;

    private static final long HEARTBEAT_MILLIS = 1_100;

    private static final int ENTRY_LIFETIME_HEARTBEATS = 3;

    private static final long STARTUP_MILLIS = 300;

    private final String machine;

    private final String rack;

    private final String service;

    private final String zone;

    private final int cores;

    private final Store store;

    private final Ledger ledger;

    private final long oneWayMillis;

    private InetSocketAddress address;

    private Http.Server server;

    /** The present life; null while the worker is down. */
    private Life life;

    private int lives;

    Worker(
            String machine,
            String rack,
            String service,
            String zone,
            int cores,
            InetSocketAddress address,
            long oneWayMillis,
            Store store,
            Ledger ledger) {
        this.machine = machine;
        this.rack = rack;
        this.service = service;
        this.zone = zone;
        this.cores = cores;
        this.address = address;
        this.store = store;
        this.ledger = ledger;
        this.oneWayMillis = oneWayMillis;
        this.server = new Http.Server(address, oneWayMillis, this::handle);
        Thread thread = new Thread(this::work, "worker-" + machine);
        thread.setDaemon(true);
        thread.start();
    }

    String machine() {
        return machine;
    }

    synchronized InetSocketAddress address() {
        return address;
    }

    /** Makes the next life listen at another address. */
    synchronized void move(InetSocketAddress next) {
        address = next;
        server = new Http.Server(next, oneWayMillis, this::handle);
    }

    /** Starts a life with an id of its own, or under the id of the last one. */
    synchronized void start(String id) throws IOException {
        lives++;
        life = new Life(id, System.currentTimeMillis());
        server.start();
        ledger.line("worker %s: life %d starts under the id %s, born %d, at %s", machine, lives, id, life.born, address);
        register();
    }

    /** Ends the present life without a word: everything that runs ends, connections are reset. */
    synchronized void crash() {
        ledger.line("worker %s: crashes, running %s", machine, life.running.keySet());
        life.running.values().forEach(run -> ledger.lostWithWorker(run.task, run.number, life.id, life.born));
        life = null;
        server.stop();
    }

    /** Makes the open connections silent; returns how many. */
    int silence() {
        return server.silence();
    }

    synchronized String id() {
        return life == null ? null : life.id;
    }

    synchronized boolean runs(String taskPrefix) {
        return life != null && life.running.keySet().stream().anyMatch(task -> task.startsWith(taskPrefix));
    }

    /** Returns the number of ends that the present life has not been told to forget. */
    synchronized int unseenEnds() {
        return life == null ? 0 : life.ended.size();
    }

    /** Returns the entry of this machine in the platform's list. */
    synchronized Map<String, Object> listed() {
        return Json.map(
                "machine", machine,
                "pool", service,
                "state", life == null ? "down" : "up",
                "zone", zone,
                "labels", List.of("a", rack),
                "capacity", capacity(),
                "id", life == null ? null : life.id);
    }

    private Map<String, Object> capacity() {
        return Json.map("cpu", cores * 1_000L, "memMb", 64_000L, "gpu", 0L);
    }

    private void register() {
        life.sequence++;
        life.registeredAt = Clock.millis();
        store.put(
                "servers/" + life.id,
                Json.map(
                        "service", service,
                        "address", address.getHostString() + ":" + address.getPort(),
                        "zone", zone,
                        "version", "v1",
                        "slots", 8,
                        "state", "ready",
                        "coldRemainingMs", 0,
                        "capacity", capacity(),
                        "labels", List.of("a", rack),
                        "clockMs", life.clock(),
                        "born", life.born,
                        "sequence", life.sequence));
    }

    /** Removes the entry of a life that has been silent for three heartbeats. */
    void expireEntry(String id) {
        Clock.pause(ENTRY_LIFETIME_HEARTBEATS * HEARTBEAT_MILLIS);
        synchronized (this) {
            if (life == null || !life.id.equals(id)) {
                store.delete("servers/" + id);
            }
        }
    }

    private void work() {
        while (true) {
            synchronized (this) {
                if (life != null) {
                    life.advance();
                    if (Clock.millis() >= life.registeredAt + HEARTBEAT_MILLIS) {
                        register();
                    }
                    notifyAll();
                }
            }
            Clock.pause(5);
        }
    }

    private synchronized Http.Answer handle(Http.Request request) throws InterruptedException {
        Life present = life;
        if (present == null) {
            return null;
        }
        if (request.path().equals("/health")) {
            return new Http.Answer(200, "{}");
        }
        String expected = request.headers().get("x-flamingopitch-expected-instance");
        if (expected != null && !expected.equals(present.id)) {
            return new Http.Answer(421, "{}");
        }
        Map<String, Object> body = Json.object(request.body());
        long fence = Json.number(body, "fencingToken", 0);
        if (fence < present.fence) {
            return present.answer(409, "fence");
        }
        present.fence = fence;
        switch (request.path()) {
            case "/run-start":
                return present.startRun(body);
            case "/run-stop":
                return present.stopRun(body);
            case "/pace":
                return present.answer(200, null);
            case "/hold":
                return hold(present, body);
            default:
                return new Http.Answer(404, "{}");
        }
    }

    private Http.Answer hold(Life present, Map<String, Object> body) throws InterruptedException {
        long lastSeen = Json.number(body, "lastSeen", 0);
        ledger.line("worker %s: born %d is told lastSeen %d; it has %d ends, the last is number %d",
                machine, present.born, lastSeen, present.ended.size(), present.ends);
        present.extend(Json.number(body, "untilMs", 0));
        present.forget(lastSeen);
        long until = Clock.millis() + Math.min(2_000, Json.number(body, "waitMs", 0));
        while (present.ended.isEmpty() && Clock.millis() < until && life == present) {
            wait(Math.max(1, until - Clock.millis()));
        }
        return life == present ? present.report() : null;
    }

    private static final class Run {

        private final String task;

        private final long number;

        private final long startedAt;

        /** How long the task takes; negative if it lasts. */
        private final long workMillis;

        private long stopAt = Long.MAX_VALUE;

        private Run(String task, long number, long workMillis) {
            this.task = task;
            this.number = number;
            this.workMillis = workMillis;
            this.startedAt = Clock.millis();
        }

        private long percent() {
            long elapsed = Clock.millis() - startedAt;
            if (workMillis < 0) {
                return elapsed >= STARTUP_MILLIS ? 100 : 0;
            }
            return Math.min(99, 100 * elapsed / Math.max(1, workMillis));
        }
    }

    /** What a worker holds and knows from its start to its end. */
    private final class Life {

        private final String id;

        private final long born;

        private final long startedAt = Clock.millis();

        private final Map<String, Run> running = new LinkedHashMap<>();

        private final Map<String, Long> lastEndedRun = new HashMap<>();

        private final List<List<Object>> ended = new ArrayList<>();

        private long ends;

        private long fence;

        private long leaseEnd;

        private long sequence;

        private long registeredAt;

        private Life(String id, long born) {
            this.id = id;
            this.born = born;
        }

        private long clock() {
            return Clock.millis() - startedAt;
        }

        private void extend(long until) {
            leaseEnd = Math.max(leaseEnd, Math.min(until, clock() + MAX_HOLD_MILLIS));
        }

        private void forget(long lastSeen) {
            ended.removeIf(end -> (Long) end.get(0) <= lastSeen);
            ledger.seen(id, born, lastSeen);
        }

        private void advance() {
            long now = Clock.millis();
            for (Run run : List.copyOf(running.values())) {
                if (clock() >= leaseEnd) {
                    end(run, "lapsed");
                } else if (now >= run.stopAt) {
                    end(run, "stopped");
                } else if (run.workMillis >= 0 && now >= run.startedAt + run.workMillis) {
                    end(run, "done");
                }
            }
        }

        private void end(Run run, String how) {
            running.remove(run.task);
            lastEndedRun.merge(run.task, run.number, Math::max);
            ends++;
            ended.add(List.of(ends, run.task, run.number, how, ""));
            ledger.ended(run.task, run.number, id, born, ends, how);
        }

        private Http.Answer startRun(Map<String, Object> body) {
            String task = (String) body.get("task");
            long number = Json.number(body, "run", 0);
            Run present = running.get(task);
            if (present != null && present.number == number) {
                extend(Json.number(body, "untilMs", 0));
                return answer(200, null);
            }
            if (number <= lastEndedRun.getOrDefault(task, 0L) || present != null && number < present.number) {
                extend(Json.number(body, "untilMs", 0));
                return answer(409, "old");
            }
            if (Json.number(body, "untilMs", 0) <= clock()) {
                return answer(409, "late");
            }
            extend(Json.number(body, "untilMs", 0));
            String spec = (String) body.get("spec");
            long work = spec.startsWith("work=") ? Long.parseLong(spec.substring("work=".length())) : -1;
            running.put(task, new Run(task, number, work));
            ledger.started(task, number, id, born);
            return answer(200, null);
        }

        private Http.Answer stopRun(Map<String, Object> body) {
            String task = (String) body.get("task");
            long number = Json.number(body, "run", 0);
            Run run = running.get(task);
            if (run != null && run.number <= number) {
                run.stopAt = Math.min(run.stopAt, Clock.millis() + STOP_MILLIS);
            } else {
                lastEndedRun.merge(task, number, Math::max);
            }
            return answer(200, null);
        }

        private Http.Answer answer(int status, String reason) {
            Map<String, Object> answer = Json.map("clockMs", clock());
            if (reason != null) {
                answer.put("reason", reason);
            }
            return new Http.Answer(status, Json.write(answer));
        }

        private Http.Answer report() {
            List<Object> rows = new ArrayList<>();
            running.values().forEach(run -> rows.add(List.of(run.task, run.number, "", run.percent(), 100)));
            return new Http.Answer(
                    200,
                    Json.write(Json.map(
                            "clockMs", clock(),
                            "born", born,
                            "running", rows,
                            "ended", new ArrayList<>(ended.subList(0, Math.min(500, ended.size()))))));
        }
    }
}
