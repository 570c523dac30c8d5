package org.flamingopitch.daemon.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.standins.host.HostListServer;
import org.flamingopitch.standins.kv.KeyValueServer;
import org.flamingopitch.standins.worker.WorkerServer;
import org.flamingopitch.transport.http.HostPort;

/** Runs a stand-in, which replaces a service of the platform in tests and local trials. */
final class StandInCommand implements Command {

    private static final String LISTEN_OPTION = "listen";

    private static final String NAMES_OPTION = "names";

    @Override
    public String summary() {
        return "Runs a stand-in, which replaces a service of the platform in tests and local trials.";
    }

    @Override
    public String usage() {
        return "kv|hosts|workers [--listen IP:PORT] [--names A,B]";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt(LISTEN_OPTION)
                        .hasArg()
                        .argName("IP:PORT")
                        .desc("address to listen on; default: a free port of 127.0.0.1")
                        .get())
                .addOption(Option.builder()
                        .longOpt(NAMES_OPTION)
                        .hasArg()
                        .argName("A,B")
                        .desc("workers: names of the workers to start")
                        .get());
    }

    @Override
    public ExitCode run(CommandLine line) throws InterruptedException {
        if (line.getArgList().size() != 1) {
            throw new UsageException("standin requires one of: kv, hosts, workers");
        }
        HostPort address = HostPort.parse(line.getOptionValue(LISTEN_OPTION, "127.0.0.1:0"));
        List<String> startLines = start(line, address);
        startLines.forEach(System.out::println);
        System.out.flush();
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }

    private static List<String> start(CommandLine line, HostPort address) {
        TimeSource clock = new SystemTimeSourceClock();
        String service = line.getArgList().get(0);
        return switch (service) {
            case "kv" -> {
                KeyValueServer server = new KeyValueServer(address, clock);
                server.start();
                yield List.of("event=started kv=" + server.address());
            }
            case "hosts" -> {
                HostListServer server = new HostListServer(address);
                server.start();
                yield List.of("event=started hosts=" + server.address());
            }
            case "workers" -> startWorkers(line, address, clock);
            default -> throw new UsageException("unknown stand-in \"" + service + "\"");
        };
    }

    private static List<String> startWorkers(CommandLine line, HostPort address, TimeSource clock) {
        List<String> startLines = new ArrayList<>();
        for (String name : line.getOptionValue(NAMES_OPTION, "worker-1").split(",")) {
            WorkerServer server = new WorkerServer(name, address, clock);
            server.start();
            startLines.add("event=started worker=" + name + " address=" + server.address());
        }
        return startLines;
    }
}
