package org.flamingopitch.bench.cli;

import java.util.Arrays;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.flamingopitch.bench.capacity.CapacityBenchmark;
import org.flamingopitch.bench.path.RequestPathBenchmark;
import org.flamingopitch.bench.takeover.JournalReplayBenchmark;
import org.flamingopitch.bench.takeover.StoreCallsBenchmark;
import org.flamingopitch.bench.takeover.TakeoverBenchmark;

/** Command line entry point that runs the benchmark named by the first argument. */
public final class BenchMain {

    private static final int USAGE_EXIT_CODE = 2;

    private BenchMain() {}

    /**
     * Runs a benchmark and exits: with code 0, or with code 2 if the arguments are invalid.
     *
     * @param arguments the benchmark's name and its options
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        java.util.logging.LogManager.getLogManager().reset();
        if (arguments.length == 0) {
            exitWithUsage("no benchmark given");
        }
        try {
            Benchmark benchmark = createBenchmark(arguments[0]);
            CommandLine commandLine =
                    new DefaultParser().parse(options(), Arrays.copyOfRange(arguments, 1, arguments.length));
            benchmark.run(commandLine);
        } catch (ParseException | IllegalArgumentException e) {
            exitWithUsage(e.getMessage());
        }
        System.exit(0);
    }

    private static Benchmark createBenchmark(String name) {
        return switch (name.toLowerCase(Locale.ROOT)) {
            case "path" -> new RequestPathBenchmark();
            case "takeover" -> new TakeoverBenchmark();
            case "replay" -> new JournalReplayBenchmark();
            case "store" -> new StoreCallsBenchmark();
            case "capacity" -> new CapacityBenchmark();
            default -> throw new IllegalArgumentException("unknown benchmark \"" + name + "\"");
        };
    }

    private static Options options() {
        return new Options()
                .addOption(null, "rate", true, "path: requests per second")
                .addOption(null, "seconds", true, "path, store: duration of each measurement in seconds")
                .addOption(null, "runs", true, "takeover: number of owner crashes")
                .addOption(null, "tasks", true, "replay: number of tasks in the journal");
    }

    private static void exitWithUsage(String error) {
        System.err.println("bench: " + error
                + "; usage: bench path|takeover|replay|store|capacity [--rate N] [--seconds N] [--runs N] [--tasks N]");
        System.exit(USAGE_EXIT_CODE);
    }
}
