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
import org.flamingopitch.daemon.cli.OperatorClient;
import org.flamingopitch.daemon.settings.ProcessSettings;
import org.flamingopitch.scheduler.node.NodeStatus;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpOutcome;

/** A small deployment of real processes: a store, a list of hosts, workers, and entry hosts. */
final class TestDeployment implements AutoCloseable {

    private static final Duration PATIENCE = Duration.ofSeconds(40);

    private static final String DATA_CENTRE = "centre-a";

    private static final String REGION = "region-1";

    private final Path folder;

    private final List<ChildProcess> processes = new ArrayList<>();

    private final List<HostPort> workers = new ArrayList<>();

    private final List<EntryProcess> entries = new ArrayList<>();

    private final HostPort hostList;

    private ChildProcess store;

    private HostPort storeAddress;

    TestDeployment(Path folder, int workerCount, int entryCount) {
        this.folder = folder;
        this.store = start("standin", "kv");
        this.storeAddress = store.address("kv");
        this.hostList = start("standin", "hosts").address("hosts");
        startWorkers(workerCount);
        for (int i = 1; i <= entryCount; i++) {
            startEntry("entry-" + i);
        }
    }

    EntryProcess startEntry(String name) {
        ProcessSettings settings = new ProcessSettings(
                name,
                DATA_CENTRE,
                REGION,
                "127.0.0.1:0",
                "127.0.0.1:0",
                "127.0.0.1:0",
                storeAddress.toString(),
                hostList.toString(),
                null,
                null);
        Path file = folder.resolve(name + ".json");
        write(file, JsonCodec.json().encode(settings));
        ChildProcess process = start("serve", "--settings", file.toString());
        String line = process.nextLine();
        EntryProcess entry = new EntryProcess(
                process,
                process(line),
                ChildProcess.addressIn(line, "callers"),
                ChildProcess.addressIn(line, "operators"));
        entries.add(entry);
        return entry;
    }

    List<EntryProcess> entries() {
        return entries;
    }

    List<HostPort> workers() {
        return workers;
    }

    HostPort hostList() {
        return hostList;
    }

    HostPort storeAddress() {
        return storeAddress;
    }

    void killStore() {
        store.kill();
    }

    void restartStore() {
        store = start("standin", "kv", "--listen", storeAddress.toString());
        storeAddress = store.address("kv");
    }

    /** Applies the inventory and waits until every entry host is ready and a rack gets work. */
    void configure() {
        String document = TestConfiguration.document(REGION, DATA_CENTRE, workers);
        HttpOutcome applied = send(entries.get(0).operators(), "PUT", "/v1/config?expected=0&who=test", document);
        requireSuccess(applied);
        entries.forEach(entry -> Awaitility.await()
                .atMost(PATIENCE)
                .until(() -> succeeded(send(entry.callers(), "POST", "/v1/run/price-check", "{}"))));
        Awaitility.await()
                .atMost(PATIENCE)
                .until(() -> succeeded(send(entries.get(0).callers(), "POST", "/v1/run/booking-hold", "{}")));
    }

    NodeStatus status(EntryProcess entry) {
        HttpOutcome outcome = send(entry.operators(), "GET", "/v1/status", "");
        requireSuccess(outcome);
        return JsonCodec.json().decode(((HttpOutcome.Answered) outcome).text(), NodeStatus.class);
    }

    EntryProcess entry(String processId) {
        return entries.stream()
                .filter(entry -> entry.id().equals(processId))
                .findFirst()
                .orElseThrow();
    }

    HttpOutcome awaitAnswer(HostPort address, String method, String path, String body, Predicate<HttpOutcome> wanted) {
        AtomicReference<HttpOutcome> last = new AtomicReference<>();
        Awaitility.await().atMost(PATIENCE).pollInterval(Duration.ofMillis(50)).until(() -> {
            last.set(send(address, method, path, body));
            return wanted.test(last.get());
        });
        return last.get();
    }

    static HttpOutcome send(HostPort address, String method, String path, String body) {
        try (OperatorClient client = new OperatorClient(address)) {
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
        names.forEach(name -> workers.add(process.address("address")));
    }

    private ChildProcess start(String... words) {
        ChildProcess process = ChildProcess.start(folder.resolve("log.txt"), words);
        processes.add(process);
        return process;
    }

    private static String process(String line) {
        for (String word : line.split(" ")) {
            if (word.startsWith("process=")) {
                return word.substring("process=".length());
            }
        }
        throw new IllegalStateException("no process in: " + line);
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
     * An entry host.
     *
     * @param process the process
     * @param id the id of its incarnation
     * @param callers where it serves callers
     * @param operators where it serves operators
     */
    record EntryProcess(ChildProcess process, String id, HostPort callers, HostPort operators) {}
}
