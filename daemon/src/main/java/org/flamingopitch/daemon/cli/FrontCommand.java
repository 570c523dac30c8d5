package org.flamingopitch.daemon.cli;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.flamingopitch.daemon.cell.CellHost;
import org.flamingopitch.daemon.cell.Telemetry;
import org.flamingopitch.daemon.log.BoundedLogHandler;
import org.flamingopitch.daemon.log.LogFormat;
import org.flamingopitch.platform.PlatformSettings;

/** Runs a host of the system on the users' platform until it is told to stop. */
final class FrontCommand implements Command {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The share of the time to stop in which open connections are answered on. */
    private static final double ANSWERING_SHARE = 0.8;

    private static final String SETTINGS = "settings";

    private static final String METRICS_PORT = "metrics-port";

    private static final String REHEARSE = "rehearse";

    @Override
    public String summary() {
        return "Runs a host on the users' platform; SIGTERM shuts it down gracefully.";
    }

    @Override
    public String arguments() {
        return "[--settings FILE] [--metrics-port PORT] | --rehearse";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt(METRICS_PORT)
                        .hasArg()
                        .argName("PORT")
                        .desc("the port at which metrics are served; default: none")
                        .get())
                .addOption(Option.builder()
                        .longOpt(REHEARSE)
                        .desc("load what a host needs and end; for the class archive that the build makes")
                        .get())
                .addOption(Option.builder()
                        .longOpt(SETTINGS)
                        .hasArg()
                        .argName("FILE")
                        .desc("the platform's settings file; default: the variable " + PlatformSettings.PATH_VARIABLE)
                        .get());
    }

    @Override
    public ExitCode run(CommandLine line) throws InterruptedException {
        if (line.hasOption(REHEARSE)) {
            return Rehearsal.run();
        }
        String path = line.getOptionValue(SETTINGS, System.getenv(PlatformSettings.PATH_VARIABLE));
        if (path == null) {
            throw new UsageException("--settings or " + PlatformSettings.PATH_VARIABLE + " is needed");
        }
        PlatformSettings settings = readSettings(path);
        CountDownLatch failed = new CountDownLatch(1);
        BoundedLogHandler log = LogFormat.installBounded();
        Telemetry telemetry = new Telemetry(metricsPort(line), log::dropped);
        CellHost host = new CellHost(
                settings, telemetry, new SystemTimeSourceClock(), Clock.systemUTC(), cause -> failed.countDown());
        host.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(host, settings, log), "shutdown"));
        LOGGER.atInfo().log("event=started process=%s callers=%s", host.id(), settings.callers());
        failed.await();
        log.stop();
        Runtime.getRuntime().halt(ExitCode.FAILED.code());
        return ExitCode.FAILED;
    }

    private static PlatformSettings readSettings(String path) {
        try {
            return PlatformSettings.read(Path.of(path));
        } catch (IllegalArgumentException e) {
            throw new IllegalStateException("settings: " + e.getMessage(), e);
        }
    }

    private static int metricsPort(CommandLine line) {
        String text = line.getOptionValue(METRICS_PORT, Integer.toString(Telemetry.NO_PORT));
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new UsageException("--" + METRICS_PORT + " must be a port, found \"" + text + "\"");
        }
    }

    private static void shutDown(CellHost host, PlatformSettings settings, BoundedLogHandler log) {
        long millis = (long) (settings.stopTime().toMillis() * ANSWERING_SHARE);
        host.drain(Duration.ofMillis(millis));
        try {
            new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LOGGER.atInfo().log("event=stopped process=%s", host.id());
        log.stop();
        // Nothing is kept on the host, and an orderly end of all threads may outlast the time to stop.
        Runtime.getRuntime().halt(ExitCode.OK.code());
    }
}
