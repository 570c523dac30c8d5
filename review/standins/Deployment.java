package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the hosts of the system as processes of their own, started with the command
 * of the deploy file, and stand-ins for the store, the workers and the clients. Its figures are those of the site
 * gaanghor.
 */
final class Deployment implements AutoCloseable {

    static final String SERVICE = "gaanghor-book";

    static final String CLIENT_HOST = "nony24.example";

    static final String PREFIX = "/hold930/";

    static final int DEADLINE_MILLIS = 3_000;

    private static final String ZONE = "kol-saltlake";

    private static final long MAX_HOLD_MILLIS = 6_000;

    private static final long HEARTBEAT_MILLIS = 1_100;

    private static final int METRICS_PORT = 9464;

    private static final int WORKERS_A_RACK = 8;

    private static final double WIDE_LINK_MEGABITS = 1_000;

    private final Record record;

    private final Ledger ledger;

    private final Store store;

    private final Path folder;

    private final double linkMegabits;

    private final List<Host> hosts = new ArrayList<>();

    private final List<Worker> workers = new ArrayList<>();

    private boolean closed;

    Deployment(Record record, int hostCount, int workerCount) throws IOException, InterruptedException {
        this(record, hostCount, workerCount, WIDE_LINK_MEGABITS);
    }

    Deployment(Record record, int hostCount, int workerCount, double linkMegabits)
            throws IOException, InterruptedException {
        this.record = record;
        this.linkMegabits = linkMegabits;
        this.ledger = new Ledger(record);
        this.store = new Store(1_048_576, record);
        this.folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        store.put("op/config", configuration().toString());
        for (int i = 0; i < workerCount; i++) {
            String rack = "r1-" + (1 + i / WORKERS_A_RACK);
            Worker worker = new Worker(
                    "i-7f3a91c" + i,
                    SERVICE,
                    ZONE,
                    rack,
                    16_000,
                    64_000,
                    MAX_HOLD_MILLIS,
                    HEARTBEAT_MILLIS,
                    store,
                    record,
                    ledger);
            workers.add(worker);
            worker.start();
        }
        String subnet = subnet(hostCount);
        for (int i = 0; i < hostCount; i++) {
            hosts.add(new Host(i, subnet + (11 + i), store.open(i)));
            if (linkMegabits < WIDE_LINK_MEGABITS) {
                store.limit(i, linkMegabits);
            }
        }
        for (Host host : hosts) {
            host.start();
        }
        waitUntilReady();
    }

    Store store() {
        return store;
    }

    Ledger ledger() {
        return ledger;
    }

    List<Worker> workers() {
        return workers;
    }

    int hostCount() {
        return hosts.size();
    }

    private static ObjectNode configuration() {
        ObjectNode config = Json.object().put("version", 7);
        config.putArray("routes").addObject()
                .put("name", "r-3hwrr6x")
                .put("host", CLIENT_HOST)
                .put("prefix", PREFIX)
                .put("type", "unsafe")
                .put("timeoutMs", 3_000)
                .put("targetLatencyMs", 600)
                .put("priority", 0)
                .put("service", SERVICE)
                .put("maxAttempts", 4)
                .put("stretch", 1.5);
        config.putArray("services").addObject()
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

    /** Returns a loopback network whose first addresses have the port of the metrics free. */
    private static String subnet(int count) throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 20; attempt++) {
            String subnet = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
            boolean free = true;
            for (int i = 0; i < count && free; i++) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress(subnet + (11 + i), METRICS_PORT));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return subnet;
            }
        }
        throw new IOException("port " + METRICS_PORT + " is taken on the loopback addresses");
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(ip, 0));
            return socket.getLocalPort();
        }
    }

    private void waitUntilReady() throws IOException, InterruptedException {
        long until = System.nanoTime() + 30_000_000_000L;
        for (Host host : hosts) {
            while (Http.call(host.ready, "GET", "/ready", host.ip, "", 1_000).status() != 200) {
                if (System.nanoTime() > until) {
                    throw new IOException("host " + host.number + " does not become ready");
                }
                Thread.sleep(100);
            }
        }
        while (store.lastConditionalWriter() < 0) {
            if (System.nanoTime() > until) {
                throw new IOException("no host writes to the store");
            }
            Thread.sleep(50);
        }
        Thread.sleep(2_000);
        record.line("all hosts are ready, host %d last wrote to the store under a condition",
                store.lastConditionalWriter());
    }

    /** Sends a client's request to a host. */
    Http.Answer send(int host, String method, String id, String body) {
        return send(host, method, id, body, true);
    }

    Http.Answer send(int host, String method, String id, String body, boolean recorded) {
        Http.Answer answer =
                Http.call(hosts.get(host).front, method, PREFIX + id, CLIENT_HOST, body, DEADLINE_MILLIS);
        if (recorded) {
            record.line("client: %s %s at host %d %s -> %d %s", method, id, host, body, answer.status(), answer.body());
        }
        return answer;
    }

    /** Hands a job in until it is accepted or the time is over, each time at the next host. */
    boolean submit(String id, String body, int firstHost, long withinMillis) throws InterruptedException {
        long until = record.now() + withinMillis;
        for (int host = firstHost; record.now() < until; host = (host + 1) % hosts.size()) {
            if (send(host, "POST", id, body).status() == 200) {
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }

    /** Freezes a host, as by SIGSTOP, or lets it go on. */
    void freeze(int host, boolean value) throws IOException, InterruptedException {
        String signal = value ? "-STOP" : "-CONT";
        new ProcessBuilder("kill", signal, Long.toString(hosts.get(host).process.pid())).start().waitFor();
        record.line("host %d: %s", host, value ? "frozen" : "goes on");
    }

    /** Kills a host, as by SIGKILL, and starts it again after a time. */
    void kill(int host, long downMillis) {
        hosts.get(host).kill();
        Daemons.after(downMillis, () -> {
            try {
                hosts.get(host).start();
            } catch (IOException e) {
                record.line("host %d: not started again: %s", host, e);
            }
        });
    }

    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        hosts.forEach(Host::close);
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.deleteIfExists(file);
            }
            Files.deleteIfExists(folder);
        } catch (IOException e) {
            record.line("the temporary folder remains: %s", e.getMessage());
        }
    }

    /** One machine of the system with its process. */
    private final class Host {

        private final int number;

        private final String ip;

        private final InetSocketAddress front;

        private final InetSocketAddress ready;

        private final Path settings;

        private final Path log;

        private Process process;

        private boolean closed;

        private Host(int number, String ip, int storePort) throws IOException {
            this.number = number;
            this.ip = ip;
            this.front = new InetSocketAddress(ip, freePort(ip));
            this.ready = new InetSocketAddress(ip, freePort(ip));
            this.settings = folder.resolve("settings-" + number + ".json");
            this.log = folder.resolve("host-" + number + ".log");
            Files.writeString(settings, settings(storePort, freePort(ip)).toString());
        }

        private ObjectNode settings(int storePort, int peerPort) throws IOException {
            JsonNode base = Json.read(Files.readAllBytes(Path.of("review/standins/settings.json")));
            ObjectNode all = (ObjectNode) base;
            all.put("nodeName", "front-" + ZONE + "-" + (number + 1)).put("ip", ip);
            ObjectNode listen = all.putObject("listenAddrs");
            listen.put("front", ip + ":" + front.getPort());
            listen.put("ready", ip + ":" + ready.getPort());
            all.putArray("internalPorts").add(peerPort).add(peerPort);
            ((ObjectNode) all.get("limits")).put("linkMbps", linkMegabits);
            ((ObjectNode) all.get("platform")).put("address", "127.0.0.1:" + storePort);
            return all;
        }

        private synchronized void start() throws IOException {
            if (closed || process != null && process.isAlive()) {
                return;
            }
            Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(Files.readString(Path.of("deploy/system.toml")));
            if (!run.find()) {
                throw new IOException("deploy/system.toml has no command");
            }
            ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().putAll(Map.of("FLAMINGOPITCH_SETTINGS", settings.toString()));
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            record.line("host %d: started", number);
        }

        private synchronized void close() {
            closed = true;
            kill();
        }

        private synchronized void kill() {
            if (process != null && process.isAlive()) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                record.line("host %d: killed", number);
            }
        }
    }
}
