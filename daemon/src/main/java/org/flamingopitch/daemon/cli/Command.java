package org.flamingopitch.daemon.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** A command. */
public interface Command {

    /**
     * Describes what the command does.
     *
     * @return one line
     */
    String summary();

    /**
     * Describes the words behind the options.
     *
     * @return the words, or empty
     */
    String arguments();

    /**
     * Returns the options.
     *
     * @return the options
     */
    Options options();

    /**
     * Runs the command.
     *
     * @param line the parsed command line
     * @return the exit code
     * @throws InterruptedException if the thread is interrupted
     */
    ExitCode run(CommandLine line) throws InterruptedException;
}
