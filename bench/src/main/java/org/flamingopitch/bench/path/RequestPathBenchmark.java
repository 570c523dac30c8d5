package org.flamingopitch.bench.path;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.apache.commons.cli.CommandLine;
import org.flamingopitch.bench.cli.Benchmark;
import org.flamingopitch.bench.cli.DemoDeployment;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.daemon.entry.EntryHost;
import org.flamingopitch.scheduler.node.NodeStatus;
import org.flamingopitch.standins.worker.WorkerServer;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpClient;

/**
 * Compares the latency of urgent requests that pass through two entry hosts (the one that receives the request and
 * the owner of the rack) with that of the same requests sent directly to the workers.
 */
public final class RequestPathBenchmark implements Benchmark {

    private static final String REQUEST_BODY = "{\"workMillis\":5}";

    private static final int DEFAULT_RATE = 1_000;

    private static final int DEFAULT_SECONDS = 15;

    private static final int WARM_UP_SECONDS = 10;

    private static final double NANOS_PER_MILLI = 1e6;

    @Override
    public void run(CommandLine commandLine) throws InterruptedException {
        int rate = Benchmark.intOption(commandLine, "rate", DEFAULT_RATE);
        Duration duration = Duration.ofSeconds(Benchmark.intOption(commandLine, "seconds", DEFAULT_SECONDS));
        try (DemoDeployment deployment = DemoDeployment.start(3, 3)) {
            EntryHost entry = findHostWithoutRacks(deployment);
            List<HostPort> workers = deployment.platform().workers().stream()
                    .filter(worker -> worker.name().startsWith("centre-a"))
                    .map(WorkerServer::address)
                    .toList();
            TimeSource clock = new SystemTimeSourceClock();
            HttpClient client = new HttpClient("load", clock);
            client.start();
            OpenLoopLoadGenerator direct = new OpenLoopLoadGenerator(
                    client, clock, workers, "/v1/requests?id=bench-{n}&kind=price-check", REQUEST_BODY);
            OpenLoopLoadGenerator scheduled = new OpenLoopLoadGenerator(
                    client, clock, List.of(entry.callerAddress()), "/v1/run/price-check", REQUEST_BODY);
            direct.run(rate, Duration.ofSeconds(WARM_UP_SECONDS));
            scheduled.run(rate, Duration.ofSeconds(WARM_UP_SECONDS));
            Histogram directLatencies = direct.run(rate, duration);
            printLatencies("directly to the workers", directLatencies, direct.failureCount(), duration);
            Histogram scheduledLatencies = scheduled.run(rate, duration);
            printLatencies("through two entry hosts", scheduledLatencies, scheduled.failureCount(), duration);
            printRatio(directLatencies, scheduledLatencies);
            client.stop();
        }
    }

    private static EntryHost findHostWithoutRacks(DemoDeployment deployment) throws InterruptedException {
        for (EntryHost host : deployment.platform().hosts()) {
            NodeStatus status = deployment.fetchStatus(host);
            boolean inDataCentre = status.members().stream()
                    .anyMatch(member ->
                            member.id().equals(host.id()) && member.dataCentre().equals("centre-a"));
            if (inDataCentre && status.racks().isEmpty()) {
                return host;
            }
        }
        throw new IllegalStateException("every entry host in centre-a owns a rack; run the benchmark again");
    }

    private static void printLatencies(String title, Histogram latencies, long failures, Duration duration) {
        System.out.printf(
                Locale.ROOT,
                "%s: %.0f requests/s, p50 %.3f ms, p99 %.3f ms, p99.9 %.3f ms, %d failed%n",
                title,
                latencies.getTotalCount() / (double) duration.toSeconds(),
                percentileMillis(latencies, 50),
                percentileMillis(latencies, 99),
                percentileMillis(latencies, 99.9),
                failures);
    }

    private static void printRatio(Histogram direct, Histogram scheduled) {
        System.out.printf(
                Locale.ROOT,
                "added p50 %.3f ms, p99 ratio %.2f, p99.9 ratio %.2f%n",
                percentileMillis(scheduled, 50) - percentileMillis(direct, 50),
                percentileMillis(scheduled, 99) / percentileMillis(direct, 99),
                percentileMillis(scheduled, 99.9) / percentileMillis(direct, 99.9));
    }

    private static double percentileMillis(Histogram latencies, double percentile) {
        return latencies.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }
}
