import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** A small deployment: processes of the system, the platform's store and list of machines, and workers. */
final class Cluster {

    static final String SERVICE = "huvo11a";

    static final String OTHER_SERVICE = "dele69a";

    private static final int METRICS_PORT = 9464;

    private static final long READY_MILLIS = 60_000;

    final Record record;

    final Store store;

    final Client client;

    final List<Host> hosts = new ArrayList<>();

    final List<Worker> workers = new ArrayList<>();

    private final HttpServer cloud;

    Cluster(Path root, Path folder, Record record, int hostCount) throws IOException {
        this.record = record;
        store = new Store();
        client = new Client(record);
        cloud = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        cloud.createContext("/machines", exchange -> {
            ObjectNode body = Json.object();
            ArrayNode machines = body.putArray("machines");
            for (int i = 0; i < workers.size(); i++) {
                Worker worker = workers.get(i);
                ObjectNode machine = machines.addObject()
                        .put("machine", "m-" + i)
                        .put("pool", SERVICE)
                        .put("state", worker.up() ? "up" : "down")
                        .put("zone", "kol-saltlake")
                        .put("id", worker.up() ? worker.id : null);
                machine.putArray("labels");
                machine.putObject("capacity").put("cpu", worker.cpu).put("memMb", worker.cpu * 4).put("gpu", 0);
            }
            Json.answer(exchange, 200, body.putNull("nextPageToken"));
        });
        cloud.start();
        String subnet = freeSubnet(hostCount);
        for (int i = 0; i < hostCount; i++) {
            hosts.add(new Host(i, subnet, root, folder, store.port(), cloud.getAddress().getPort(), record));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
    }

    Worker addWorker(int cpu, String kind, Worker.Listener listener) throws IOException {
        return addWorker(SERVICE, cpu, kind, listener);
    }

    Worker addWorker(String service, int cpu, String kind, Worker.Listener listener) throws IOException {
        int number = workers.size();
        Worker worker = new Worker(
                "i-7f3a9" + (100 + number), cpu, kind, "r1-" + (1 + number / 8), service, store, record, listener);
        workers.add(worker);
        worker.start(worker.id, cpu, kind);
        return worker;
    }

    /** Writes a configuration with one queue, which sends its jobs to a service. */
    void configure(int version, int maxAttempts, String service) {
        configure(version, maxAttempts, service, Client.PREFIX);
    }

    /** Writes a configuration with one queue for each prefix. */
    void configure(int version, int maxAttempts, String service, String... prefixes) {
        ObjectNode config = Json.object().put("version", version);
        ArrayNode routes = config.putArray("routes");
        for (String prefix : prefixes) {
            routes.addObject()
                    .put("name", "r" + prefix.replace('/', '-'))
                    .put("host", Client.HOST)
                    .put("prefix", prefix)
                    .put("type", "unsafe")
                    .put("timeoutMs", 3_000)
                    .put("targetLatencyMs", 600)
                    .put("priority", 0)
                    .put("service", service)
                    .put("maxAttempts", maxAttempts)
                    .put("stretch", 1.5);
        }
        ArrayNode services = config.putArray("services");
        for (String name : List.of(SERVICE, OTHER_SERVICE)) {
            services.addObject()
                    .put("name", name)
                    .put("healthPath", "/health")
                    .put("maxConnections", 64)
                    .put("protocol", "h1")
                    .put("tls", false)
                    .put("rejectsOverload", false)
                    .put("standby", false);
        }
        config.putObject("limits").put("maxHeaderBytes", 16_384).put("maxBodyBytes", 262_144)
                .put("headerTimeoutMs", 3_000).put("idleTimeoutMs", 15_000);
        store.put("op/config", config.toString());
        record.line("operator: version %d is acknowledged, queues %s go to %s", version, List.of(prefixes), service);
    }

    /** Writes the configuration, starts the processes of the system and waits until all are ready. */
    void start(int maxAttempts) throws IOException, InterruptedException {
        configure(7, maxAttempts, SERVICE);
        for (Host host : hosts) {
            host.start();
        }
        for (Host host : hosts) {
            awaitReady(host);
        }
    }

    private void awaitReady(Host host) throws IOException, InterruptedException {
        while (!ready(host)) {
            if (Record.now() > READY_MILLIS || !host.alive()) {
                throw new IOException("a process does not become ready: " + host.output());
            }
            Daemon.pause(200);
        }
    }

    static boolean ready(Host host) {
        try (Socket socket = new Socket(host.ip, host.ready)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(("GET /ready HTTP/1.1\r\nHost: " + host.ip + "\r\n\r\n").getBytes());
            byte[] head = socket.getInputStream().readNBytes(12);
            return new String(head).endsWith(" 200");
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the process that owns the cell, as the store says, or null. */
    Host owner() throws IOException {
        String text = store.text("flamingopitch/owner/cell");
        for (Host host : hosts) {
            if (text != null && text.contains(host.ip + ":")) {
                return host;
            }
        }
        return null;
    }

    void stop() {
        for (Host host : hosts) {
            try {
                host.kill();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    static String step(int count, int cpu, int estimatedMillis) {
        return "{\"count\":" + count + ",\"cpu\":" + cpu + ",\"memMb\":64,\"estimatedMs\":" + estimatedMillis + "}";
    }

    /** Returns a loopback network on whose first addresses the port of the metrics is free. */
    private static String freeSubnet(int hostCount) throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 30; attempt++) {
            String subnet = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
            boolean free = true;
            for (int i = 0; i < hostCount && free; i++) {
                try (ServerSocket socket =
                        new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(subnet + (11 + i)))) {
                    free = socket.isBound();
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return subnet;
            }
        }
        throw new IOException("no free addresses");
    }

    /** Runs a scenario with exit code 1 if the rule was broken, 0 if it held and 2 if the case could not run. */
    static void main(Path folder, int hostCount, Scenario scenario) {
        int code;
        try {
            Path root = Path.of("").toAbsolutePath();
            Path temporary = Files.createTempDirectory("case");
            Record record = new Record(folder.resolve("record.txt"));
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            Cluster cluster = new Cluster(root, temporary, record, hostCount);
            String broken = scenario.play(cluster, trouble);
            record.line(broken == null ? "the rule held" : "BROKEN: " + broken);
            System.out.println(broken == null ? "the rule held" : "BROKEN: " + broken);
            cluster.stop();
            if (System.getenv("KEEP_LOGS") == null) {
                try (var files = Files.list(temporary)) {
                    files.forEach(file -> file.toFile().delete());
                }
                Files.delete(temporary);
            } else {
                System.out.println("logs: " + temporary);
            }
            code = broken == null ? 0 : 1;
        } catch (Exception e) {
            e.printStackTrace();
            code = 2;
        }
        // Also ends the processes of the system if the scenario failed.
        System.exit(code);
    }

    interface Scenario {

        /** Returns how the rule was broken, or null. */
        String play(Cluster cluster, boolean trouble) throws Exception;
    }
}
