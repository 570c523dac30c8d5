package org.flamingopitch.daemon.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints the audit log of an entry host: the changes that the host made or observed. */
final class AuditCommand implements Command {

    @Override
    public String summary() {
        return "Prints the audit log of an entry host: changes of owners, configuration, jobs and workers.";
    }

    @Override
    public String usage() {
        return "--host IP:PORT";
    }

    @Override
    public Options options() {
        return new Options().addOption(HostClient.hostOption());
    }

    @Override
    public ExitCode run(CommandLine line) throws InterruptedException {
        try (HostClient client = HostClient.fromHostOption(line)) {
            return HostClient.printOutcome(client.send("GET", "/v1/audit", ""));
        }
    }
}
