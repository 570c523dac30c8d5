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
import org.flamingopitch.platform.PlatformSettings;

/** Runs a host of the system on the users' platform until it is told to stop. */
final class FrontCommand implements Command {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The share of the time to stop in which open connections are answered on. */
    private static final double ANSWERING_SHARE = 0.8;

    private static final String SETTINGS = "settings";

    private static final String REHEARSE = "rehearse";

    @Override
    public String summary() {
        return "Runs a host on the users' platform; SIGTERM shuts it down gracefully.";
    }

    @Override
    public String arguments() {
        return "[--settings FILE | --rehearse]";
    }

    @Override
    public Options options() {
        return new Options()
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
        CellHost host =
                new CellHost(settings, new SystemTimeSourceClock(), Clock.systemUTC(), cause -> failed.countDown());
        host.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(host, settings), "shutdown"));
        LOGGER.atInfo().log("event=started process=%s callers=%s", host.id(), settings.callers());
        failed.await();
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

    private static void shutDown(CellHost host, PlatformSettings settings) {
        long millis = (long) (settings.stopTime().toMillis() * ANSWERING_SHARE);
        host.drain(Duration.ofMillis(millis));
        try {
            new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LOGGER.atInfo().log("event=stopped process=%s", host.id());
        // Nothing is kept on the host, and an orderly end of all threads may outlast the time to stop.
        Runtime.getRuntime().halt(ExitCode.OK.code());
    }
}
