package org.flamingopitch.daemon.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.daemon.settings.ConfigurationParser;
import org.flamingopitch.transport.http.HttpOutcome;

/** Prints the configuration, replaces it, or prints its history. */
final class ConfigCommand implements Command {

    @Override
    public String summary() {
        return "Prints the configuration, applies a new one, or prints its history.";
    }

    @Override
    public String usage() {
        return "show|apply|history --host IP:PORT [--file FILE --expected VERSION --who NAME]";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(HostClient.hostOption())
                .addOption(option("file", "FILE", "apply: file with the new inventory and rules"))
                .addOption(option("expected", "VERSION", "apply: current version, refused if another one is in force"))
                .addOption(option("who", "NAME", "apply: author of the change, recorded in the history"));
    }

    @Override
    public ExitCode run(CommandLine line) throws InterruptedException {
        if (line.getArgList().size() != 1) {
            throw new UsageException("config requires one of: show, apply, history");
        }
        String action = line.getArgList().get(0);
        try (HostClient client = HostClient.fromHostOption(line)) {
            return switch (action) {
                case "show" -> show(client);
                case "apply" -> apply(client, line);
                case "history" -> HostClient.printOutcome(client.send("GET", "/v1/config/history", ""));
                default -> throw new UsageException("unknown config action \"" + action + "\"");
            };
        }
    }

    private static ExitCode show(HostClient client) throws InterruptedException {
        HttpOutcome outcome = client.send("GET", "/v1/config", "");
        if (outcome instanceof HttpOutcome.Answered answer && answer.success()) {
            ConfigResponse response = JsonCodec.json().decode(answer.text(), ConfigResponse.class);
            System.err.println("version " + response.version());
            System.out.println(response.document());
            return ExitCode.OK;
        }
        return HostClient.printOutcome(outcome);
    }

    private static ExitCode apply(HostClient client, CommandLine line) throws InterruptedException {
        String file = requiredOption(line, "file");
        String document = CheckCommand.readFile(file);
        ConfigurationParser.parse(file, document);
        String who = URLEncoder.encode(requiredOption(line, "who"), StandardCharsets.UTF_8);
        String path = "/v1/config?expected=" + requiredOption(line, "expected") + "&who=" + who;
        return HostClient.printOutcome(client.send("PUT", path, document));
    }

    private static String requiredOption(CommandLine line, String option) {
        if (!line.hasOption(option)) {
            throw new UsageException("config apply requires --" + option);
        }
        return line.getOptionValue(option);
    }

    private static Option option(String name, String argument, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .desc(description)
                .get();
    }

    private record ConfigResponse(long version, String document) {}
}
