package org.flamingopitch.daemon.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** A subcommand of the command line. */
public interface Command {

    /**
     * Returns a one-line description for the help.
     *
     * @return the description, ending with a full stop
     */
    String summary();

    /**
     * Returns the usage syntax that follows the name of the command.
     *
     * @return options and arguments, or an empty string if there are none
     */
    String usage();

    /**
     * Returns the options that the command accepts, without {@code --help}.
     *
     * @return a new, modifiable set of options
     */
    Options options();

    /**
     * Runs the command.
     *
     * @param line the parsed command line
     * @return the exit code of the process
     * @throws InterruptedException if the thread is interrupted
     */
    ExitCode run(CommandLine line) throws InterruptedException;
}
