package org.flamingopitch.daemon.cli;

import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import org.flamingopitch.daemon.demo.DemoCommand;

/** The commands by name. */
public enum CommandName {
    /** Runs an entry host. */
    SERVE(ServeCommand::new),
    /** Runs a host on the users' platform. */
    FRONT(FrontCommand::new),
    /** Checks documents without starting anything. */
    CHECK(CheckCommand::new),
    /** Shows and changes the configuration. */
    CONFIG(ConfigCommand::new),
    /** Shows the changes that were made. */
    AUDIT(AuditCommand::new),
    /** Shows the state of an entry host. */
    STATUS(StatusCommand::new),
    /** Runs everything in one process. */
    DEMO(DemoCommand::new),
    /** Runs a stand-in for a part of the platform. */
    STANDIN(StandInCommand::new),
    /** Shows the version. */
    VERSION(VersionCommand::new);

    private final Supplier<Command> factory;

    CommandName(Supplier<Command> factory) {
        this.factory = factory;
    }

    /**
     * Finds a command.
     *
     * @param word the word on the command line
     * @return the command's name, if there is one
     */
    public static Optional<CommandName> find(String word) {
        for (CommandName name : values()) {
            if (name.word().equals(word)) {
                return Optional.of(name);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the word on the command line.
     *
     * @return the word
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Creates the command.
     *
     * @return the command
     */
    public Command create() {
        return factory.get();
    }
}
