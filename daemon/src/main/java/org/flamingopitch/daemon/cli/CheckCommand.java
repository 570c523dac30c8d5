package org.flamingopitch.daemon.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.daemon.settings.ConfigurationParser;
import org.flamingopitch.daemon.settings.EntryHostSettings;
import org.flamingopitch.daemon.settings.InvalidDocumentException;
import org.flamingopitch.platform.ConfigurationChecker;
import org.flamingopitch.platform.ConfigurationDifference;
import org.flamingopitch.platform.ConfigurationFinding;

/** Validates a settings file or a configuration file without starting a process. */
final class CheckCommand implements Command {

    private static final String OPERATOR_CONFIGURATION = "operator-configuration";

    private static final String AGAINST = "against";

    private static final String JSON = "json";

    @Override
    public String summary() {
        return "Validates a settings file or a configuration file without starting a process.";
    }

    @Override
    public String usage() {
        return "[--settings FILE] [--configuration FILE] [--operator-configuration FILE [--against FILE] [--json]]";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(fileOption("settings", "settings file of an entry host"))
                .addOption(fileOption("configuration", "configuration file: inventory and rules"))
                .addOption(fileOption(
                        OPERATOR_CONFIGURATION,
                        "operator's configuration on the users' platform: routes, services, limits"))
                .addOption(fileOption(AGAINST, "operator's configuration in force; prints what differs from it"))
                .addOption(null, JSON, false, "print findings and differences as JSON");
    }

    @Override
    public ExitCode run(CommandLine line) {
        if (!line.hasOption("settings")
                && !line.hasOption("configuration")
                && !line.hasOption(OPERATOR_CONFIGURATION)) {
            throw new UsageException("check requires --settings, --configuration or --operator-configuration");
        }
        if (!line.hasOption(OPERATOR_CONFIGURATION) && (line.hasOption(AGAINST) || line.hasOption(JSON))) {
            throw new UsageException("--against and --json require --operator-configuration");
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
        return line.hasOption(OPERATOR_CONFIGURATION) ? checkOperatorConfiguration(line) : ExitCode.OK;
    }

    private static ExitCode checkOperatorConfiguration(CommandLine line) {
        String file = line.getOptionValue(OPERATOR_CONFIGURATION);
        JsonNode configuration = parseOperatorConfiguration(file);
        Optional<JsonNode> reference =
                Optional.ofNullable(line.getOptionValue(AGAINST)).map(CheckCommand::parseOperatorConfiguration);
        List<ConfigurationFinding> findings = ConfigurationChecker.check(configuration, reference);
        List<ConfigurationDifference> differences = reference
                .map(each -> ConfigurationDifference.between(each, configuration))
                .orElse(List.of());
        List<String> errors = findings.stream()
                .filter(finding -> finding.severity() == ConfigurationFinding.Severity.ERROR)
                .map(ConfigurationFinding::toString)
                .toList();
        if (line.hasOption(JSON)) {
            System.out.println(JsonCodec.json().encode(new OperatorConfigurationReport(findings, differences)));
            return errors.isEmpty() ? ExitCode.OK : ExitCode.INVALID_DOCUMENT;
        }
        findings.stream()
                .filter(finding -> finding.severity() == ConfigurationFinding.Severity.WARNING)
                .forEach(finding -> System.out.println(file + ": warning: " + finding));
        differences.forEach(System.out::println);
        if (!errors.isEmpty()) {
            throw new InvalidDocumentException(file, errors);
        }
        System.out.println(file + ": ok");
        return ExitCode.OK;
    }

    private static JsonNode parseOperatorConfiguration(String file) {
        try {
            return ConfigurationChecker.parse(readFile(file));
        } catch (InvalidDocumentException e) {
            throw e;
        } catch (IllegalArgumentException e) {
            throw new InvalidDocumentException(file, List.of(e.getMessage()));
        }
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

    private record OperatorConfigurationReport(
            List<ConfigurationFinding> findings, List<ConfigurationDifference> differences) {}
}
