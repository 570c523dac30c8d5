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

/** Runs a stand-in for a part of the platform, for tests and trials. */
final class StandInCommand implements Command {

    private static final String LISTEN = "listen";

    private static final String NAMES = "names";

    @Override
    public String summary() {
        return "Runs a stand-in for a part of the platform, for tests and trials.";
    }

    @Override
    public String arguments() {
        return "kv|hosts|workers [--listen IP:PORT] [--names A,B]";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt(LISTEN)
                        .hasArg()
                        .argName("IP:PORT")
                        .desc("where it listens, by default a free port of 127.0.0.1")
                        .get())
                .addOption(Option.builder()
                        .longOpt(NAMES)
                        .hasArg()
                        .argName("A,B")
                        .desc("workers: their names")
                        .get());
    }

    @Override
    public ExitCode run(CommandLine line) throws InterruptedException {
        if (line.getArgList().size() != 1) {
            throw new UsageException("standin needs one of kv, hosts, workers");
        }
        HostPort address = HostPort.parse(line.getOptionValue(LISTEN, "127.0.0.1:0"));
        List<String> started = start(line, address);
        started.forEach(System.out::println);
        System.out.flush();
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }

    private static List<String> start(CommandLine line, HostPort address) {
        TimeSource clock = new SystemTimeSourceClock();
        String role = line.getArgList().get(0);
        return switch (role) {
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
            default -> throw new UsageException("unknown stand-in \"" + role + "\"");
        };
    }

    private static List<String> startWorkers(CommandLine line, HostPort address, TimeSource clock) {
        List<String> started = new ArrayList<>();
        for (String name : line.getOptionValue(NAMES, "worker-1").split(",")) {
            WorkerServer server = new WorkerServer(name, address, clock);
            server.start();
            started.add("event=started worker=" + name + " address=" + server.address());
        }
        return started;
    }
}
