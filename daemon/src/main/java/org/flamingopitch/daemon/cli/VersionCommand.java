package org.flamingopitch.daemon.cli;

import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints the version. */
final class VersionCommand implements Command {

    @Override
    public String summary() {
        return "Prints the version.";
    }

    @Override
    public String usage() {
        return "";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public ExitCode run(CommandLine line) {
        String version = Optional.ofNullable(VersionCommand.class.getPackage().getImplementationVersion())
                .orElse("development");
        System.out.println("flamingopitch " + version);
        return ExitCode.OK;
    }
}
