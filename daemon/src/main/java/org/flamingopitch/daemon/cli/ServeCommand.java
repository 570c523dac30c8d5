package org.flamingopitch.daemon.cli;

import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.flamingopitch.daemon.entry.EntryHost;
import org.flamingopitch.daemon.settings.EntryHostSettings;

/** Runs an entry host until SIGTERM or a failure. */
final class ServeCommand implements Command {

    /** Time allowed for the end of a graceful shutdown beyond the drain time of the settings. */
    private static final Duration SHUTDOWN_MARGIN = Duration.ofSeconds(3);

    @Override
    public String summary() {
        return "Runs an entry host; SIGTERM shuts it down gracefully.";
    }

    @Override
    public String usage() {
        return "--settings FILE";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt("settings")
                        .hasArg()
                        .argName("FILE")
                        .required()
                        .desc("settings file, a JSON document")
                        .get());
    }

    @Override
    public ExitCode run(CommandLine line) throws InterruptedException {
        EntryHostSettings settings = EntryHostSettings.read(Path.of(line.getOptionValue("settings")));
        CountDownLatch failed = new CountDownLatch(1);
        EntryHost host = new EntryHost(settings, new SystemTimeSourceClock(), cause -> failed.countDown());
        host.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(host, settings), "shutdown"));
        System.out.println("event=started process=" + host.id() + " callers=" + host.callerAddress() + " operators="
                + host.operatorAddress() + " peers=" + host.peerAddress());
        System.out.flush();
        failed.await();
        Runtime.getRuntime().halt(ExitCode.FAILED.code());
        return ExitCode.FAILED;
    }

    private static void shutDown(EntryHost host, EntryHostSettings settings) {
        host.drain();
        try {
            host.awaitDrained(settings.drainTimeout().plus(SHUTDOWN_MARGIN));
            // Waits 500 ms: a thread that joins itself always times out.
            Thread.currentThread().join(500);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        host.stop();
    }
}
