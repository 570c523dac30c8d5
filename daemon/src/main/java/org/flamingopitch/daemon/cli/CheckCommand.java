package org.flamingopitch.daemon.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.flamingopitch.daemon.settings.ConfigurationParser;
import org.flamingopitch.daemon.settings.EntryHostSettings;
import org.flamingopitch.daemon.settings.InvalidDocumentException;

/** Validates a settings file or a configuration file without starting a process. */
final class CheckCommand implements Command {

    @Override
    public String summary() {
        return "Validates a settings file or a configuration file without starting a process.";
    }

    @Override
    public String usage() {
        return "[--settings FILE] [--configuration FILE]";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(fileOption("settings", "settings file of an entry host"))
                .addOption(fileOption("configuration", "configuration file: inventory and rules"));
    }

    @Override
    public ExitCode run(CommandLine line) {
        if (!line.hasOption("settings") && !line.hasOption("configuration")) {
            throw new UsageException("check requires --settings or --configuration");
        }
        if (line.hasOption("settings")) {
            EntryHostSettings.read(Path.of(line.getOptionValue("settings")));
            System.out.println(line.getOptionValue("settings") + ": ok");
        }
        if (line.hasOption("configuration")) {
            String file = line.getOptionValue("configuration");
            ConfigurationParser.parse(file, readFile(file));
            System.out.println(file + ": ok");
        }
        return ExitCode.OK;
    }

    static String readFile(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new InvalidDocumentException(
                    file, List.of("cannot be read: " + e.getClass().getSimpleName()));
        }
    }

    private static Option fileOption(String name, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName("FILE")
                .desc(description)
                .get();
    }
}
