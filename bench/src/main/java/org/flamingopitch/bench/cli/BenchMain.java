package org.flamingopitch.bench.cli;

import java.util.Arrays;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.flamingopitch.bench.capacity.CapacityBench;
import org.flamingopitch.bench.path.PathBench;
import org.flamingopitch.bench.takeover.ReplayBench;
import org.flamingopitch.bench.takeover.StoreCallsBench;
import org.flamingopitch.bench.takeover.TakeoverBench;

/** Runs a benchmark by name. */
public final class BenchMain {

    private static final int USAGE_EXIT_CODE = 2;

    private BenchMain() {}

    /**
     * Runs the command line.
     *
     * @param words the benchmark's name and its options
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] words) throws InterruptedException {
        java.util.logging.LogManager.getLogManager().reset();
        if (words.length == 0) {
            usage("a benchmark is missing");
        }
        try {
            Bench bench = find(words[0]);
            CommandLine line = new DefaultParser().parse(options(), Arrays.copyOfRange(words, 1, words.length));
            bench.run(line);
        } catch (ParseException | IllegalArgumentException e) {
            usage(e.getMessage());
        }
        System.exit(0);
    }

    private static Bench find(String name) {
        return switch (name.toLowerCase(Locale.ROOT)) {
            case "path" -> new PathBench();
            case "takeover" -> new TakeoverBench();
            case "replay" -> new ReplayBench();
            case "store" -> new StoreCallsBench();
            case "capacity" -> new CapacityBench();
            default -> throw new IllegalArgumentException("unknown benchmark \"" + name + "\"");
        };
    }

    private static Options options() {
        return new Options()
                .addOption(null, "rate", true, "path: requests a second")
                .addOption(null, "seconds", true, "path, store: how long")
                .addOption(null, "runs", true, "takeover: how many kills")
                .addOption(null, "tasks", true, "replay: how many tasks");
    }

    private static void usage(String problem) {
        System.err.println("bench: " + problem
                + "; usage: bench path|takeover|replay|store|capacity [--rate N] [--seconds N] [--runs N] [--tasks N]");
        System.exit(USAGE_EXIT_CODE);
    }
}
