package org.flamingopitch.bench.path;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.apache.commons.cli.CommandLine;
import org.flamingopitch.bench.cli.Bench;
import org.flamingopitch.bench.cli.DemoDeployment;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.daemon.entry.EntryHost;
import org.flamingopitch.scheduler.node.NodeStatus;
import org.flamingopitch.standins.worker.WorkerServer;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpClient;

/** Times urgent requests through two entry hosts beside the same requests sent straight to the workers. */
public final class PathBench implements Bench {

    private static final String BODY = "{\"workMillis\":5}";

    private static final int DEFAULT_RATE = 1_000;

    private static final int DEFAULT_SECONDS = 15;

    private static final int WARM_UP_SECONDS = 10;

    private static final double NANOS_PER_MILLI = 1e6;

    @Override
    public void run(CommandLine line) throws InterruptedException {
        int rate = Bench.number(line, "rate", DEFAULT_RATE);
        Duration duration = Duration.ofSeconds(Bench.number(line, "seconds", DEFAULT_SECONDS));
        try (DemoDeployment deployment = DemoDeployment.start(3, 3)) {
            EntryHost entry = hostThatDoesNotOwn(deployment);
            List<HostPort> workers = deployment.platform().workers().stream()
                    .filter(worker -> worker.name().startsWith("centre-a"))
                    .map(WorkerServer::address)
                    .toList();
            TimeSource clock = new SystemTimeSourceClock();
            HttpClient client = new HttpClient("load", clock);
            client.start();
            OpenLoad direct = new OpenLoad(client, clock, workers, "/v1/requests?id=bench-{n}&kind=price-check", BODY);
            OpenLoad through = new OpenLoad(client, clock, List.of(entry.callerAddress()), "/v1/run/price-check", BODY);
            direct.run(rate, Duration.ofSeconds(WARM_UP_SECONDS));
            through.run(rate, Duration.ofSeconds(WARM_UP_SECONDS));
            Histogram directTimes = direct.run(rate, duration);
            print("straight to the workers", directTimes, direct.failures(), duration);
            Histogram throughTimes = through.run(rate, duration);
            print("through two entry hosts", throughTimes, through.failures(), duration);
            printRatio(directTimes, throughTimes);
            client.stop();
        }
    }

    private static EntryHost hostThatDoesNotOwn(DemoDeployment deployment) throws InterruptedException {
        for (EntryHost host : deployment.platform().hosts()) {
            NodeStatus status = deployment.status(host);
            boolean near = status.members().stream()
                    .anyMatch(member ->
                            member.id().equals(host.id()) && member.dataCentre().equals("centre-a"));
            if (near && status.racks().isEmpty()) {
                return host;
            }
        }
        throw new IllegalStateException("every near host owns a rack; run again");
    }

    private static void print(String title, Histogram times, long failures, Duration duration) {
        System.out.printf(
                Locale.ROOT,
                "%s: %.0f requests/s, p50 %.3f ms, p99 %.3f ms, p99.9 %.3f ms, %d failed%n",
                title,
                times.getTotalCount() / (double) duration.toSeconds(),
                millis(times, 50),
                millis(times, 99),
                millis(times, 99.9),
                failures);
    }

    private static void printRatio(Histogram direct, Histogram through) {
        System.out.printf(
                Locale.ROOT,
                "added p50 %.3f ms, p99 ratio %.2f, p99.9 ratio %.2f%n",
                millis(through, 50) - millis(direct, 50),
                millis(through, 99) / millis(direct, 99),
                millis(through, 99.9) / millis(direct, 99.9));
    }

    private static double millis(Histogram times, double percentile) {
        return times.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }
}
