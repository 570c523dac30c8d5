package org.flamingopitch.daemon.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.scheduler.node.NodeStatus;
import org.flamingopitch.transport.http.HttpOutcome;

/** Prints the state of an entry host. */
final class StatusCommand implements Command {

    @Override
    public String summary() {
        return "Prints the state of an entry host: members, owners, racks, workers, shards.";
    }

    @Override
    public String usage() {
        return "--host IP:PORT [--json]";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(HostClient.hostOption())
                .addOption(null, "json", false, "print the state as JSON instead of a table");
    }

    @Override
    public ExitCode run(CommandLine line) throws InterruptedException {
        try (HostClient client = HostClient.fromHostOption(line)) {
            HttpOutcome outcome = client.send("GET", "/v1/status", "");
            boolean succeeded = outcome instanceof HttpOutcome.Answered answer && answer.success();
            if (!succeeded || line.hasOption("json")) {
                return HostClient.printOutcome(outcome);
            }
            String text = ((HttpOutcome.Answered) outcome).text();
            System.out.print(StatusTable.format(JsonCodec.json().decode(text, NodeStatus.class)));
            return ExitCode.OK;
        }
    }
}
