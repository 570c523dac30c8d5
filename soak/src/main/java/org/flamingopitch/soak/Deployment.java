package org.flamingopitch.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;

/** Three hosts of the system as processes of their own, and stand-ins for the store and the workers. */
final class Deployment {

    static final String SERVICE = "soak-service";

    static final String ZONE = "kol-saltlake";

    static final String CALLER_HOST = "soak.example";

    static final String PREFIX = "/jobs/";

    static final int HOSTS = 3;

    static final int WORKERS = 6;

    private static final int WORKERS_A_RACK = 3;

    private static final int METRICS_PORT = 9464;

    private static final long START_MILLIS = 60_000;

    private static final int READY_CALL_MILLIS = 1_000;

    private final Timeline timeline;

    private final ExecutorService threads;

    private final ScheduledExecutorService timer;

    private final EventLog log;

    private final Ledger ledger;

    private final StoreStandIn store;

    private final List<LoopbackProxy> storeLinks = new ArrayList<>();

    private final List<HostProcess> hosts = new ArrayList<>();

    private final List<WorkerStandIn> workers = new ArrayList<>();

    private int workersCreated;

    Deployment(
            Timeline timeline,
            ExecutorService threads,
            ScheduledExecutorService timer,
            EventLog log,
            Ledger ledger,
            SplittableRandom random) {
        this.timeline = timeline;
        this.threads = threads;
        this.timer = timer;
        this.log = log;
        this.ledger = ledger;
        this.store = new StoreStandIn(timeline, threads, random);
    }

    /** Starts everything and waits until all hosts are ready. */
    void start(Path root, Path directory, SplittableRandom random) throws IOException, InterruptedException {
        store.start(timer);
        store.put("op/config", configuration().toString());
        for (int i = 0; i < WORKERS; i++) {
            workers.add(createWorker());
        }
        String subnet = freeSubnet(random);
        for (int i = 0; i < HOSTS; i++) {
            int storePort = store.open(i);
            LoopbackProxy link = new LoopbackProxy(timeline, threads, () -> storePort);
            link.start();
            storeLinks.add(link);
            hosts.add(new HostProcess(i, subnet + (11 + i), root, directory, link, log));
        }
        for (HostProcess host : hosts) {
            host.start();
        }
        for (HostProcess host : hosts) {
            awaitReady(host);
        }
    }

    void stop() throws IOException, InterruptedException {
        for (HostProcess host : hosts) {
            host.stop();
        }
        for (LoopbackProxy link : storeLinks) {
            link.stop();
        }
        for (int i = 0; i < workers.size(); i++) {
            worker(i).stop();
        }
        store.stop();
    }

    StoreStandIn store() {
        return store;
    }

    /** Returns the link between a host and the store. */
    LoopbackProxy storeLink(int host) {
        return storeLinks.get(host);
    }

    HostProcess host(int number) {
        return hosts.get(number);
    }

    synchronized WorkerStandIn worker(int number) {
        return workers.get(number);
    }

    /** Ends a worker for good; another one takes its place in the pool. */
    void replaceWorker(int number) throws IOException {
        worker(number).crash();
        WorkerStandIn added = createWorker();
        synchronized (this) {
            workers.set(number, added);
        }
    }

    private WorkerStandIn createWorker() throws IOException {
        int number;
        synchronized (this) {
            number = workersCreated;
            workersCreated++;
        }
        WorkerStandIn worker = new WorkerStandIn(
                new WorkerId("i-7f3a9" + (100 + number)),
                "r1-" + (1 + number / WORKERS_A_RACK),
                store,
                ledger,
                timeline,
                threads);
        worker.start(timer);
        return worker;
    }

    private static ObjectNode configuration() {
        ObjectNode config = Json.object().put("version", 7);
        config.putArray("routes")
                .addObject()
                .put("name", "r-soak")
                .put("host", CALLER_HOST)
                .put("prefix", PREFIX)
                .put("type", "unsafe")
                .put("timeoutMs", 3_000)
                .put("targetLatencyMs", 600)
                .put("priority", 0)
                .put("service", SERVICE)
                .put("maxAttempts", Ledger.MAX_ATTEMPTS)
                .put("stretch", 1.5);
        config.putArray("services")
                .addObject()
                .put("name", SERVICE)
                .put("healthPath", "/health")
                .put("maxConnections", 64)
                .put("protocol", "h1")
                .put("tls", false)
                .put("rejectsOverload", false)
                .put("standby", false);
        config.putObject("limits").put("maxHeaderBytes", 16_384).put("maxBodyBytes", 262_144);
        return config;
    }

    /** Returns a loopback network on whose first addresses the port of the metrics is free. */
    private static String freeSubnet(SplittableRandom random) throws IOException {
        for (int attempt = 0; attempt < 20; attempt++) {
            String subnet = "127." + random.nextInt(20, 220) + "." + random.nextInt(250) + ".";
            boolean free = true;
            for (int i = 0; i < HOSTS && free; i++) {
                free = isFree(new InetSocketAddress(subnet + (11 + i), METRICS_PORT));
            }
            if (free) {
                return subnet;
            }
        }
        throw new IOException("port " + METRICS_PORT + " is taken on the loopback addresses");
    }

    private static boolean isFree(InetSocketAddress address) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(address);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void awaitReady(HostProcess host) throws IOException, InterruptedException {
        while (true) {
            try (CallerConnection connection = new CallerConnection(host.ready(), READY_CALL_MILLIS)) {
                if (connection.call("GET", "/ready", "").status() == 200) {
                    return;
                }
            } catch (IOException e) {
                // The process does not listen yet.
                log.line("not ready: %s", e.getMessage());
            }
            if (timeline.millis() > START_MILLIS || !host.alive()) {
                throw new IOException("a host does not become ready; its output is in the directory of the logs");
            }
            timeline.pause(200);
        }
    }
}
