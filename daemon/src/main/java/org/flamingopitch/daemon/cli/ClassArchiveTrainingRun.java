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
import org.flamingopitch.scheduler.cell.feature.FeatureGates;
import org.flamingopitch.scheduler.cell.owner.CellTimings;
import org.flamingopitch.scheduler.cell.owner.OwnerRecord;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpOutcome;

/**
 * Loads the classes of a host and runs one briefly, so that the build can create a class data sharing archive when the
 * JVM exits. A host that starts with the archive skips loading and verifying these classes, which on 0.3 cores takes
 * most of the start-up time.
 */
final class ClassArchiveTrainingRun {

    /** Port 1 on loopback, where nothing listens; the training run needs no store. */
    private static final HostPort UNREACHABLE_STORE = new HostPort("127.0.0.1", 1);

    /** Port 0: the operating system assigns a free port. */
    private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);

    /** Long enough for the first store calls to fail and be retried, so that the classes of the retry are loaded too. */
    private static final Duration RUN_TIME = Duration.ofSeconds(1);

    private static final String CLASS_SUFFIX = ".class";

    private static final List<String> ARCHIVED_PACKAGES = List.of(
            "org/flamingopitch/scheduler/cell/",
            "org/flamingopitch/platform/",
            "org/flamingopitch/transport/",
            "org/flamingopitch/daemon/cell/");

    private ClassArchiveTrainingRun() {}

    static ExitCode run() throws InterruptedException {
        loadArchivedClasses();
        JsonCodec codec = JsonCodec.compact();
        codec.decode(codec.encode(new OwnerRecord(new ProcessId("rehearsal"), "127.0.0.1:1", 1)), OwnerRecord.class);
        CellHost host = new CellHost(
                trainingSettings(),
                new Telemetry(Telemetry.NO_PORT, () -> 0),
                FeatureGates.ALL_ON,
                new SystemTimeSourceClock(),
                Clock.systemUTC(),
                cause -> System.err.println("event=rehearsal_failed cause=\"" + cause + "\""));
        host.start();
        try (HostClient client = new HostClient(host.callerAddress())) {
            HttpOutcome outcome = client.send("GET", "/q/0123456789abcdef", "");
            System.out.println("event=rehearsed outcome=\"" + outcome.getClass().getSimpleName() + "\"");
        }
        new CountDownLatch(1).await(RUN_TIME.toMillis(), TimeUnit.MILLISECONDS);
        host.stop();
        return ExitCode.OK;
    }

    private static PlatformSettings trainingSettings() {
        Duration oneSecond = Duration.ofSeconds(1);
        CellTimings timings = new CellTimings(oneSecond, oneSecond, oneSecond, oneSecond, oneSecond);
        return new PlatformSettings(
                "rehearsal",
                "none",
                ANY_PORT.host(),
                ANY_PORT,
                ANY_PORT,
                ANY_PORT.port(),
                UNREACHABLE_STORE,
                null,
                1,
                timings,
                oneSecond);
    }

    private static void loadArchivedClasses() {
        try (JarFile jar = new JarFile(jarPath().toFile())) {
            jar.stream()
                    .map(entry -> entry.getName())
                    .filter(name -> name.endsWith(CLASS_SUFFIX)
                            && ARCHIVED_PACKAGES.stream().anyMatch(name::startsWith))
                    .map(name -> name.substring(0, name.length() - CLASS_SUFFIX.length())
                            .replace('/', '.'))
                    .filter(name -> !name.endsWith("package-info"))
                    .forEach(ClassArchiveTrainingRun::loadClass);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Path jarPath() {
        try {
            return Path.of(ClassArchiveTrainingRun.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
        } catch (URISyntaxException e) {
            throw new IllegalStateException("the location of the program's jar is not a valid URI", e);
        }
    }

    private static void loadClass(String name) {
        try {
            Class.forName(name);
        } catch (ClassNotFoundException e) {
            throw new IllegalStateException("a class in the program's jar cannot be loaded: " + name, e);
        }
    }
}
