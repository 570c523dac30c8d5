package org.flamingopitch.daemon.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.daemon.settings.ConfigurationParser;
import org.flamingopitch.transport.http.HttpOutcome;

/** Shows and changes the configuration. */
final class ConfigCommand implements Command {

    @Override
    public String summary() {
        return "Shows the configuration, applies a new one, or shows its history.";
    }

    @Override
    public String arguments() {
        return "show|apply|history --host IP:PORT [--file FILE --expected VERSION --who NAME]";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(OperatorClient.hostOption())
                .addOption(option("file", "FILE", "apply: the new inventory and rules"))
                .addOption(option("expected", "VERSION", "apply: the version that it replaces"))
                .addOption(option("who", "NAME", "apply: who makes the change"));
    }

    @Override
    public ExitCode run(CommandLine line) throws InterruptedException {
        if (line.getArgList().size() != 1) {
            throw new UsageException("config needs one of show, apply, history");
        }
        String action = line.getArgList().get(0);
        try (OperatorClient client = OperatorClient.of(line)) {
            return switch (action) {
                case "show" -> show(client);
                case "apply" -> apply(client, line);
                case "history" -> OperatorClient.print(client.send("GET", "/v1/config/history", ""));
                default -> throw new UsageException("unknown action \"" + action + "\"");
            };
        }
    }

    private static ExitCode show(OperatorClient client) throws InterruptedException {
        HttpOutcome outcome = client.send("GET", "/v1/config", "");
        if (outcome instanceof HttpOutcome.Answered answer && answer.success()) {
            ShownConfig shown = JsonCodec.json().decode(answer.text(), ShownConfig.class);
            System.err.println("version " + shown.version());
            System.out.println(shown.document());
            return ExitCode.OK;
        }
        return OperatorClient.print(outcome);
    }

    private static ExitCode apply(OperatorClient client, CommandLine line) throws InterruptedException {
        String file = required(line, "file");
        String document = CheckCommand.readFile(file);
        ConfigurationParser.parse(file, document);
        String who = URLEncoder.encode(required(line, "who"), StandardCharsets.UTF_8);
        String path = "/v1/config?expected=" + required(line, "expected") + "&who=" + who;
        return OperatorClient.print(client.send("PUT", path, document));
    }

    private static String required(CommandLine line, String option) {
        if (!line.hasOption(option)) {
            throw new UsageException("config apply needs --" + option);
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

    private record ShownConfig(long version, String document) {}
}
