package org.flamingopitch.bench.cli;

import org.apache.commons.cli.CommandLine;

/** A benchmark that can be run from the command line. */
public interface Benchmark {

    /**
     * Runs the benchmark and prints the results to standard output.
     *
     * @param commandLine the parsed command line
     * @throws InterruptedException if the thread is interrupted
     */
    void run(CommandLine commandLine) throws InterruptedException;

    /**
     * Returns the value of an integer option.
     *
     * @param commandLine the parsed command line
     * @param option the name of the option
     * @param defaultValue the value if the option is missing
     * @return the value
     * @throws NumberFormatException if the value is not an integer
     */
    static int intOption(CommandLine commandLine, String option, int defaultValue) {
        return Integer.parseInt(commandLine.getOptionValue(option, Integer.toString(defaultValue)));
    }
}
