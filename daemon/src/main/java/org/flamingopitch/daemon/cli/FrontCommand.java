package org.flamingopitch.daemon.cli;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.flamingopitch.daemon.cell.CellHost;
import org.flamingopitch.daemon.cell.Telemetry;
import org.flamingopitch.daemon.log.BoundedLogHandler;
import org.flamingopitch.daemon.log.KeyValueLogFormatter;
import org.flamingopitch.platform.PlatformSettings;
import org.flamingopitch.scheduler.cell.feature.FeatureGates;
import sun.misc.Signal;

/** Runs a host of the scheduler on the users' platform until SIGTERM or a failure. */
final class FrontCommand implements Command {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Fraction of the platform's stop time for which requests are still served. */
    private static final double DRAIN_FRACTION = 0.8;

    /** Fraction of the platform's stop time after which the process ends even if a request is unanswered. */
    private static final double END_FRACTION = 0.93;

    /** The signal that the settings file has changed; the runtime would end the process without a handler. */
    private static final String RELOAD_SIGNAL = "HUP";

    private static final List<String> STOP_SIGNALS = List.of("TERM", "INT");

    private static final String SETTINGS_OPTION = "settings";

    private static final String METRICS_PORT_OPTION = "metrics-port";

    private static final String FEATURE_GATES_OPTION = "feature-gates";

    private static final String REHEARSE_OPTION = "rehearse";

    @Override
    public String summary() {
        return "Runs a host on the users' platform; SIGTERM shuts it down gracefully, SIGHUP reads the settings again.";
    }

    @Override
    public String usage() {
        return "[--settings FILE] [--metrics-port PORT] [--feature-gates NAME=false,...] | --rehearse";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt(METRICS_PORT_OPTION)
                        .hasArg()
                        .argName("PORT")
                        .desc("port of the metrics page; default: metrics are not served")
                        .get())
                .addOption(Option.builder()
                        .longOpt(FEATURE_GATES_OPTION)
                        .hasArg()
                        .argName("NAME=false,...")
                        .desc("decision mechanisms to switch off for a diagnosis; default: all are on. Names: "
                                + FeatureGates.describe())
                        .get())
                .addOption(Option.builder()
                        .longOpt(REHEARSE_OPTION)
                        .desc("load the classes of a host and exit, to create a class data sharing archive")
                        .get())
                .addOption(Option.builder()
                        .longOpt(SETTINGS_OPTION)
                        .hasArg()
                        .argName("FILE")
                        .desc("settings file of the platform; default: the path in the environment variable "
                                + PlatformSettings.PATH_VARIABLE)
                        .get());
    }

    @Override
    public ExitCode run(CommandLine line) throws InterruptedException {
        if (line.hasOption(REHEARSE_OPTION)) {
            return ClassArchiveTrainingRun.run();
        }
        String path = line.getOptionValue(SETTINGS_OPTION, System.getenv(PlatformSettings.PATH_VARIABLE));
        if (path == null) {
            throw new UsageException(
                    "--settings or the environment variable " + PlatformSettings.PATH_VARIABLE + " is required");
        }
        FeatureGates gates = featureGates(line);
        PlatformSettings settings = readSettings(path);
        AtomicBoolean failed = new AtomicBoolean();
        CountDownLatch ending = new CountDownLatch(1);
        BoundedLogHandler logHandler = KeyValueLogFormatter.installOnStandardOutput();
        Telemetry telemetry = new Telemetry(metricsPort(line), logHandler::droppedRecords);
        CellHost host =
                new CellHost(settings, telemetry, gates, new SystemTimeSourceClock(), Clock.systemUTC(), cause -> {
                    failed.set(true);
                    ending.countDown();
                });
        host.start();
        SettingsReloader reloader = new SettingsReloader(Path.of(path), settings);
        Signal.handle(new Signal(RELOAD_SIGNAL), signal -> reloader.reload());
        // A shutdown hook would run beside the runtime's own one, which closes the log.
        STOP_SIGNALS.forEach(name -> Signal.handle(new Signal(name), signal -> ending.countDown()));
        LOGGER.atInfo().log("event=started process=%s callers=%s gates_off=%s", host.id(), settings.callers(), gates);
        ending.await();
        if (failed.get()) {
            logHandler.stop();
            Runtime.getRuntime().halt(ExitCode.FAILED.code());
        }
        shutDown(host, reloader.current(), logHandler);
        return ExitCode.OK;
    }

    private static PlatformSettings readSettings(String path) {
        try {
            return PlatformSettings.read(Path.of(path));
        } catch (IllegalArgumentException e) {
            throw new IllegalStateException("settings: " + e.getMessage(), e);
        }
    }

    private static FeatureGates featureGates(CommandLine line) {
        String text = line.getOptionValue(FEATURE_GATES_OPTION);
        try {
            return text == null ? FeatureGates.ALL_ON : FeatureGates.parse(text);
        } catch (IllegalArgumentException e) {
            throw new UsageException("--" + FEATURE_GATES_OPTION + ": " + e.getMessage());
        }
    }

    private static int metricsPort(CommandLine line) {
        String text = line.getOptionValue(METRICS_PORT_OPTION, Integer.toString(Telemetry.NO_PORT));
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new UsageException("--" + METRICS_PORT_OPTION + " must be a port number, found \"" + text + "\"");
        }
    }

    private static void shutDown(CellHost host, PlatformSettings settings, BoundedLogHandler logHandler)
            throws InterruptedException {
        long drainMillis = (long) (settings.stopTime().toMillis() * DRAIN_FRACTION);
        long endMillis = (long) (settings.stopTime().toMillis() * END_FRACTION);
        host.drain(Duration.ofMillis(drainMillis));
        // Nothing counts this latch down: callers keep using their open connections until the process ends.
        CountDownLatch ended = new CountDownLatch(1);
        ended.await(drainMillis, TimeUnit.MILLISECONDS);
        host.runWhenAllAnswered(() -> end(host, logHandler));
        ended.await(endMillis - drainMillis, TimeUnit.MILLISECONDS);
        end(host, logHandler);
    }

    private static void end(CellHost host, BoundedLogHandler logHandler) {
        LOGGER.atInfo().log("event=stopped process=%s unanswered=%d", host.id(), host.unansweredRequests());
        logHandler.stop();
        // The host stores no state, and an orderly stop of all threads may exceed the stop time.
        Runtime.getRuntime().halt(ExitCode.OK.code());
    }
}
