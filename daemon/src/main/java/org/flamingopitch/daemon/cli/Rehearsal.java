package org.flamingopitch.daemon.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarFile;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.flamingopitch.daemon.cell.CellHost;
import org.flamingopitch.daemon.cell.Telemetry;
import org.flamingopitch.platform.PlatformSettings;
import org.flamingopitch.scheduler.cell.owner.CellTimings;
import org.flamingopitch.scheduler.cell.owner.OwnerRecord;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpOutcome;

/**
 * Loads what a host needs and ends, so that the Java runtime can archive the classes when the system is built. A host
 * that is started again then need not read and check them: on 0.3 cores that is most of its start.
 */
final class Rehearsal {

    /** Nobody listens there: the host rehearses without a store. */
    private static final HostPort NO_STORE = new HostPort("127.0.0.1", 1);

    private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);

    /** Long enough for the first calls to the store to fail and to be repeated. */
    private static final Duration RUN_TIME = Duration.ofSeconds(1);

    private static final String CLASS_SUFFIX = ".class";

    private static final List<String> PACKAGES = List.of(
            "org/flamingopitch/scheduler/cell/",
            "org/flamingopitch/platform/",
            "org/flamingopitch/transport/",
            "org/flamingopitch/daemon/cell/");

    private Rehearsal() {}

    static ExitCode run() throws InterruptedException {
        loadOwnClasses();
        JsonCodec codec = JsonCodec.compact();
        codec.decode(codec.encode(new OwnerRecord(new ProcessId("rehearsal"), "127.0.0.1:1")), OwnerRecord.class);
        CellHost host = new CellHost(
                settings(),
                new Telemetry(Telemetry.NO_PORT, () -> 0),
                new SystemTimeSourceClock(),
                Clock.systemUTC(),
                cause -> System.err.println("event=rehearsal_failed cause=\"" + cause + "\""));
        host.start();
        try (OperatorClient client = new OperatorClient(host.callerAddress())) {
            HttpOutcome outcome = client.send("GET", "/q/0123456789abcdef", "");
            System.out.println("event=rehearsed outcome=\"" + outcome.getClass().getSimpleName() + "\"");
        }
        new CountDownLatch(1).await(RUN_TIME.toMillis(), TimeUnit.MILLISECONDS);
        host.stop();
        return ExitCode.OK;
    }

    private static PlatformSettings settings() {
        Duration second = Duration.ofSeconds(1);
        CellTimings timings = new CellTimings(second, second, second, second, second);
        return new PlatformSettings(
                "rehearsal", "none", ANY_PORT.host(), ANY_PORT, ANY_PORT, ANY_PORT.port(), NO_STORE, timings, second);
    }

    private static void loadOwnClasses() {
        try (JarFile jar = new JarFile(ownJar().toFile())) {
            jar.stream()
                    .map(entry -> entry.getName())
                    .filter(name ->
                            name.endsWith(CLASS_SUFFIX) && PACKAGES.stream().anyMatch(name::startsWith))
                    .map(name -> name.substring(0, name.length() - CLASS_SUFFIX.length())
                            .replace('/', '.'))
                    .filter(name -> !name.endsWith("package-info"))
                    .forEach(Rehearsal::load);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Path ownJar() {
        try {
            return Path.of(Rehearsal.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
        } catch (URISyntaxException e) {
            throw new IllegalStateException("the program's own file is not known", e);
        }
    }

    private static void load(String name) {
        try {
            Class.forName(name);
        } catch (ClassNotFoundException e) {
            throw new IllegalStateException("class in the program's own file cannot be loaded: " + name, e);
        }
    }
}
