package org.flamingopitch.bench.compare;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;

/** Command line entry point that evaluates the reports of paired plays. */
public final class CompareMain {

    private static final int USAGE_EXIT_CODE = 2;

    private static final int FAILED_PLAYS_EXIT_CODE = 1;

    private CompareMain() {}

    /**
     * Prints the comparison and exits: with code 1 if a play failed or broke a rule, with 2 on invalid arguments.
     *
     * @param arguments the options
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments, System.out, System.err));
    }

    static int run(String[] arguments, PrintStream out, PrintStream err) {
        Options options = new Options()
                .addOption("h", "help", false, "print this help")
                .addOption(null, "reports", true, "directory of reports named DAY.SEED.baseline|candidate.json")
                .addOption(null, "csv", true, "file for one line a play");
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            if (line.hasOption("help")) {
                HelpFormatter.builder().get().printHelp("compare --reports DIR [--csv FILE]", "", options, "", false);
                return 0;
            }
            if (!line.hasOption("reports")) {
                throw new ParseException("--reports is missing");
            }
            return evaluate(Path.of(line.getOptionValue("reports")), line.getOptionValue("csv"), out);
        } catch (ParseException e) {
            err.println("compare: " + e.getMessage());
        } catch (IOException e) {
            err.println("compare: cannot read or write: " + e);
        }
        return USAGE_EXIT_CODE;
    }

    private static int evaluate(Path directory, String csvFile, PrintStream out) throws IOException {
        List<Play> plays;
        try (Stream<Path> files = Files.list(directory)) {
            plays = files.filter(Play::isReport).sorted().map(Play::read).toList();
        }
        Comparison comparison = new Comparison(plays);
        out.print(comparison.table());
        if (csvFile != null) {
            Files.write(Path.of(csvFile), comparison.csv());
        }
        return comparison.failures().isEmpty() ? 0 : FAILED_PLAYS_EXIT_CODE;
    }
}
