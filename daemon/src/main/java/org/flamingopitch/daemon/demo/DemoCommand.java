package org.flamingopitch.daemon.demo;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Predicate;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.SystemTimeSourceClock;
import org.flamingopitch.daemon.cli.Command;
import org.flamingopitch.daemon.cli.ExitCode;
import org.flamingopitch.daemon.cli.HostClient;
import org.flamingopitch.daemon.cli.StatusTable;
import org.flamingopitch.daemon.entry.EntryHost;
import org.flamingopitch.scheduler.node.NodeStatus;
import org.flamingopitch.transport.http.HttpOutcome;

/** Runs three entry hosts and stand-ins of the platform's services in one process and submits each kind of work. */
public final class DemoCommand implements Command {

    private static final int HOST_COUNT = 3;

    private static final int WORKERS_PER_DATA_CENTRE = 3;

    private static final int MAX_ATTEMPTS = 150;

    private static final long RETRY_INTERVAL_NANOS = 100_000_000L;

    @Override
    public String summary() {
        return "Runs entry hosts and stand-ins in one process and submits each kind of work.";
    }

    @Override
    public String usage() {
        return "[--keep]";
    }

    @Override
    public Options options() {
        return new Options().addOption(null, "keep", false, "keep the deployment running and print example requests");
    }

    @Override
    public ExitCode run(CommandLine line) throws InterruptedException {
        DemoPlatform platform = new DemoPlatform(new SystemTimeSourceClock(), WORKERS_PER_DATA_CENTRE, HOST_COUNT);
        platform.start();
        try {
            submitEachKindOfWork(platform);
            if (line.hasOption("keep")) {
                printExampleRequests(platform);
                new CountDownLatch(1).await();
            }
            return ExitCode.OK;
        } finally {
            platform.stop();
        }
    }

    private static void submitEachKindOfWork(DemoPlatform platform) throws InterruptedException {
        EntryHost first = platform.hosts().get(0);
        EntryHost second = platform.hosts().get(1);
        EntryHost third = platform.hosts().get(2);
        try (HostClient operator = new HostClient(first.operatorAddress());
                HostClient firstCaller = new HostClient(first.callerAddress());
                HostClient secondCaller = new HostClient(second.callerAddress());
                HostClient thirdCaller = new HostClient(third.callerAddress())) {
            printOutcome(
                    "configuration",
                    operator.send("PUT", "/v1/config?expected=0&who=demo", platform.configurationJson()));
            HttpOutcome priceCheck = retryUntil(
                    () -> firstCaller.send("POST", "/v1/run/price-check", "{\"item\":\"chair\",\"workMillis\":5}"),
                    DemoCommand::succeeded);
            printOutcome("price check at " + first.name(), priceCheck);
            HttpOutcome bookingHold = retryUntil(
                    () -> secondCaller.send("POST", "/v1/run/booking-hold", "{\"room\":7,\"workMillis\":5}"),
                    DemoCommand::succeeded);
            printOutcome("booking hold at " + second.name(), bookingHold);
            runRenderJob(operator, thirdCaller);
            NodeStatus status = JsonCodec.json().decode(text(operator.send("GET", "/v1/status", "")), NodeStatus.class);
            System.out.println("--- status of " + first.name());
            System.out.print(StatusTable.format(status));
            System.out.println("--- metrics of " + first.name());
            text(operator.send("GET", "/metrics", ""))
                    .lines()
                    .filter(metric -> metric.startsWith("flamingopitch") && metric.contains("_total"))
                    .forEach(System.out::println);
        }
    }

    private static void runRenderJob(HostClient operator, HostClient caller) throws InterruptedException {
        String key = JsonCodec.json()
                .decode(text(caller.send("POST", "/v1/keys", "")), IssuedKey.class)
                .key();
        String path = "/v1/jobs/" + key;
        retryUntil(
                () -> caller.send("POST", "/v1/jobs/render?key=" + key, "{\"page\":12,\"workMillis\":3000}"),
                DemoCommand::succeeded);
        printOutcome("render accepted", caller.send("GET", path, ""));
        retryUntil(() -> caller.send("GET", path, ""), outcome -> text(outcome).contains("RUNNING"));
        printOutcome("render evicted", operator.send("POST", path + "/evict", ""));
        retryUntil(() -> caller.send("GET", path, ""), outcome -> text(outcome).contains("FINISHED"));
        printOutcome("render finished", caller.send("GET", path, ""));
    }

    private static void printExampleRequests(DemoPlatform platform) {
        System.out.println("--- the deployment keeps running; example requests:");
        for (EntryHost host : platform.hosts()) {
            System.out.println("curl -d '{\"workMillis\":5}' http://" + host.callerAddress() + "/v1/run/price-check");
            System.out.println("curl http://" + host.operatorAddress() + "/v1/status");
        }
    }

    private static void printOutcome(String title, HttpOutcome outcome) {
        System.out.println("--- " + title);
        System.out.println(text(outcome));
    }

    private static boolean succeeded(HttpOutcome outcome) {
        return outcome instanceof HttpOutcome.Answered answer && answer.success();
    }

    private static String text(HttpOutcome outcome) {
        return outcome instanceof HttpOutcome.Answered answer ? answer.text() : outcome.toString();
    }

    private static HttpOutcome retryUntil(Attempt attempt, Predicate<HttpOutcome> condition)
            throws InterruptedException {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            HttpOutcome outcome = attempt.run();
            if (condition.test(outcome)) {
                return outcome;
            }
            LockSupport.parkNanos(RETRY_INTERVAL_NANOS);
        }
        throw new IllegalStateException(
                "the demo did not receive the expected answer within the maximum number of attempts");
    }

    @FunctionalInterface
    private interface Attempt {
        HttpOutcome run() throws InterruptedException;
    }

    private record IssuedKey(String key) {}
}
