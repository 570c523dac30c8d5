package org.flamingopitch.daemon.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Shows the changes that an entry host made or saw. */
final class AuditCommand implements Command {

    @Override
    public String summary() {
        return "Shows the changes that an entry host made or saw: owners, configuration, jobs, workers.";
    }

    @Override
    public String arguments() {
        return "--host IP:PORT";
    }

    @Override
    public Options options() {
        return new Options().addOption(OperatorClient.hostOption());
    }

    @Override
    public ExitCode run(CommandLine line) throws InterruptedException {
        try (OperatorClient client = OperatorClient.of(line)) {
            return OperatorClient.print(client.send("GET", "/v1/audit", ""));
        }
    }
}
