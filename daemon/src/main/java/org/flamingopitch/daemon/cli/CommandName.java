package org.flamingopitch.daemon.cli;

import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import org.flamingopitch.daemon.demo.DemoCommand;

/** The subcommands; each is called on the command line by its constant name in lower case. */
public enum CommandName {
    /** Runs an entry host. */
    SERVE(ServeCommand::new),
    /** Runs a host on the users' platform. */
    FRONT(FrontCommand::new),
    /** Validates settings and configuration files. */
    CHECK(CheckCommand::new),
    /** Prints and replaces the configuration. */
    CONFIG(ConfigCommand::new),
    /** Prints the audit log of an entry host. */
    AUDIT(AuditCommand::new),
    /** Prints the state of an entry host. */
    STATUS(StatusCommand::new),
    /** Prints statistics of the jobs in the log files of all hosts. */
    ANALYZE(AnalyzeCommand::new),
    /** Runs a demonstration deployment in one process. */
    DEMO(DemoCommand::new),
    /** Runs a stand-in: a local replacement for a service of the platform. */
    STANDIN(StandInCommand::new),
    /** Prints the version. */
    VERSION(VersionCommand::new);

    private final Supplier<Command> factory;

    CommandName(Supplier<Command> factory) {
        this.factory = factory;
    }

    /**
     * Finds the command with the given name.
     *
     * @param word the name as given on the command line
     * @return the command, or empty if no command has this name
     */
    public static Optional<CommandName> find(String word) {
        for (CommandName command : values()) {
            if (command.commandLineName().equals(word)) {
                return Optional.of(command);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the name by which the command is called on the command line.
     *
     * @return the constant name in lower case
     */
    public String commandLineName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Creates the implementation of the command.
     *
     * @return a new instance
     */
    public Command create() {
        return factory.get();
    }
}
