package org.flamingopitch.bench.cli;

import org.apache.commons.cli.CommandLine;

/** A benchmark. */
public interface Bench {

    /**
     * Runs the benchmark and prints its figures.
     *
     * @param line the parsed options
     * @throws InterruptedException if the thread is interrupted
     */
    void run(CommandLine line) throws InterruptedException;

    /**
     * Reads a whole number from the options.
     *
     * @param line the parsed options
     * @param option the option
     * @param fallback the number if the option is missing
     * @return the number
     */
    static int number(CommandLine line, String option, int fallback) {
        return Integer.parseInt(line.getOptionValue(option, Integer.toString(fallback)));
    }
}
