package org.flamingopitch.daemon.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import org.awaitility.Awaitility;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.daemon.cli.HostClient;
import org.flamingopitch.daemon.settings.EntryHostSettings;
import org.flamingopitch.scheduler.node.NodeStatus;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpOutcome;

/** Starts a store, a list of hosts, workers and entry hosts in child processes; all workers share one process. */
final class TestDeployment implements AutoCloseable {

    private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(40);

    private static final String DATA_CENTRE = "centre-a";

    private static final String REGION = "region-1";

    private final Path folder;

    private final List<ChildProcess> processes = new ArrayList<>();

    private final List<HostPort> workerAddresses = new ArrayList<>();

    private final List<EntryProcess> entries = new ArrayList<>();

    private final HostPort hostListAddress;

    private ChildProcess store;

    private HostPort storeAddress;

    TestDeployment(Path folder, int workerCount, int entryCount) {
        this.folder = folder;
        this.store = start("standin", "kv");
        this.storeAddress = store.readAddress("kv");
        this.hostListAddress = start("standin", "hosts").readAddress("hosts");
        startWorkers(workerCount);
        for (int i = 1; i <= entryCount; i++) {
            startEntry("entry-" + i);
        }
    }

    EntryProcess startEntry(String name) {
        EntryHostSettings settings = new EntryHostSettings(
                name,
                DATA_CENTRE,
                REGION,
                "127.0.0.1:0",
                "127.0.0.1:0",
                "127.0.0.1:0",
                storeAddress.toString(),
                hostListAddress.toString(),
                null,
                null);
        Path file = folder.resolve(name + ".json");
        write(file, JsonCodec.json().encode(settings));
        ChildProcess process = start("serve", "--settings", file.toString());
        String line = process.readLine();
        EntryProcess entry = new EntryProcess(
                process,
                parseProcessId(line),
                ChildProcess.parseAddress(line, "callers"),
                ChildProcess.parseAddress(line, "operators"));
        entries.add(entry);
        return entry;
    }

    List<EntryProcess> entries() {
        return entries;
    }

    List<HostPort> workerAddresses() {
        return workerAddresses;
    }

    HostPort hostListAddress() {
        return hostListAddress;
    }

    HostPort storeAddress() {
        return storeAddress;
    }

    void killStore() {
        store.kill();
    }

    void restartStore() {
        store = start("standin", "kv", "--listen", storeAddress.toString());
        storeAddress = store.readAddress("kv");
    }

    /** Applies a configuration and waits until every entry host answers price checks and one a booking hold. */
    void configure() {
        String document = TestConfiguration.createDocument(REGION, DATA_CENTRE, workerAddresses);
        HttpOutcome applied = send(entries.get(0).operatorAddress(), "PUT", "/v1/config?expected=0&who=test", document);
        requireSuccess(applied);
        entries.forEach(entry -> Awaitility.await()
                .atMost(WAIT_TIMEOUT)
                .until(() -> succeeded(send(entry.callerAddress(), "POST", "/v1/run/price-check", "{}"))));
        Awaitility.await()
                .atMost(WAIT_TIMEOUT)
                .until(() -> succeeded(send(entries.get(0).callerAddress(), "POST", "/v1/run/booking-hold", "{}")));
    }

    NodeStatus status(EntryProcess entry) {
        HttpOutcome outcome = send(entry.operatorAddress(), "GET", "/v1/status", "");
        requireSuccess(outcome);
        return JsonCodec.json().decode(((HttpOutcome.Answered) outcome).text(), NodeStatus.class);
    }

    EntryProcess entry(String processId) {
        return entries.stream()
                .filter(entry -> entry.id().equals(processId))
                .findFirst()
                .orElseThrow();
    }

    HttpOutcome awaitAnswer(
            HostPort address, String method, String path, String body, Predicate<HttpOutcome> condition) {
        AtomicReference<HttpOutcome> lastOutcome = new AtomicReference<>();
        Awaitility.await()
                .atMost(WAIT_TIMEOUT)
                .pollInterval(Duration.ofMillis(50))
                .until(() -> {
                    lastOutcome.set(send(address, method, path, body));
                    return condition.test(lastOutcome.get());
                });
        return lastOutcome.get();
    }

    static HttpOutcome send(HostPort address, String method, String path, String body) {
        try (HostClient client = new HostClient(address)) {
            return client.send(method, path, body);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static boolean succeeded(HttpOutcome outcome) {
        return outcome instanceof HttpOutcome.Answered answer && answer.success();
    }

    static String text(HttpOutcome outcome) {
        return outcome instanceof HttpOutcome.Answered answer ? answer.text() : outcome.toString();
    }

    @Override
    public void close() {
        processes.forEach(ChildProcess::close);
    }

    private void startWorkers(int count) {
        List<String> names = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            names.add("w" + i);
        }
        ChildProcess process = start("standin", "workers", "--names", String.join(",", names));
        names.forEach(name -> workerAddresses.add(process.readAddress("address")));
    }

    private ChildProcess start(String... arguments) {
        ChildProcess process = ChildProcess.start(folder.resolve("log.txt"), arguments);
        processes.add(process);
        return process;
    }

    private static String parseProcessId(String line) {
        for (String word : line.split(" ")) {
            if (word.startsWith("process=")) {
                return word.substring("process=".length());
            }
        }
        throw new IllegalStateException("no process= in the line: " + line);
    }

    private static void write(Path file, String text) {
        try {
            Files.writeString(file, text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void requireSuccess(HttpOutcome outcome) {
        if (!succeeded(outcome)) {
            throw new IllegalStateException(text(outcome));
        }
    }

    /**
     * An entry host and what it printed when it started.
     *
     * @param process the process
     * @param id its process id, new for each start
     * @param callerAddress the address of its interface for callers
     * @param operatorAddress the address of its interface for operators
     */
    record EntryProcess(ChildProcess process, String id, HostPort callerAddress, HostPort operatorAddress) {}
}
