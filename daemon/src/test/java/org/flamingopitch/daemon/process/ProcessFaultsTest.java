package org.flamingopitch.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.awaitility.Awaitility;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.daemon.process.TestDeployment.EntryProcess;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests entry hosts in processes of their own while an owner is killed or paused, the store fails, or all hosts are
 * replaced. The callers' answers are compared with the workers' logs, which shows repeated work and answers that report
 * a wrong outcome.
 */
final class ProcessFaultsTest {

    private static final int HOSTS = 3;

    @Test
    void answersMatchWorkerLogsWhenOwnerIsKilled(@TempDir Path folder) {
        injectFaultUnderLoad(folder, (deployment, load) -> {
            shardOwner(deployment).process().kill();
            load.awaitMoreAnswers(60);
        });
    }

    @Test
    void answersMatchWorkerLogsWhenOwnerIsPausedPastItsLease(@TempDir Path folder) {
        injectFaultUnderLoad(folder, (deployment, load) -> {
            EntryProcess owner = shardOwner(deployment);
            EntryProcess other = deployment.entries().stream()
                    .filter(entry -> entry != owner)
                    .findFirst()
                    .orElseThrow();
            owner.process().sendSignal("STOP");
            Awaitility.await()
                    .atMost(Duration.ofSeconds(20))
                    .until(() -> deployment.status(other).owners().stream()
                            .noneMatch(entry -> entry.owner().value().equals(owner.id())));
            owner.process().sendSignal("CONT");
            load.awaitMoreAnswers(60);
        });
    }

    @Test
    void requestsAreAnsweredDuringStoreOutage(@TempDir Path folder) {
        injectFaultUnderLoad(folder, (deployment, load) -> {
            deployment.killStore();
            load.awaitMoreAnswers(120);
            long answeredInOutage = load.consecutivePriceAnswers();
            assertThat(answeredInOutage).isPositive();
        });
    }

    @Test
    void jobFinishesInFirstAttemptWhenAllHostsAreReplacedOneByOne(@TempDir Path folder) throws InterruptedException {
        try (TestDeployment deployment = new TestDeployment(folder, 4, HOSTS)) {
            deployment.configure();
            String key = "render-rolling";
            HostPort first = deployment.entries().get(0).callerAddress();
            TestDeployment.send(first, "POST", "/v1/jobs/render?key=" + key, "{\"workMillis\":8000}");
            List<EntryProcess> original = List.copyOf(deployment.entries());
            for (EntryProcess entry : original) {
                EntryProcess replacement =
                        deployment.startEntry("new-" + entry.id().substring(0, 7));
                deployment.awaitAnswer(
                        replacement.callerAddress(), "POST", "/v1/run/price-check", "{}", TestDeployment::succeeded);
                entry.process().terminate();
                entry.process().awaitExit();
            }
            EntryProcess last = deployment.entries().get(deployment.entries().size() - 1);
            HttpOutcome finished = deployment.awaitAnswer(
                    last.callerAddress(),
                    "GET",
                    "/v1/jobs/" + key,
                    "",
                    outcome -> TestDeployment.text(outcome).contains("FINISHED"));
            assertThat(TestDeployment.text(finished)).contains("\"attempts\":1");
        }
    }

    /** Injects a fault into a deployment under load, then compares the callers' answers with the workers' logs. */
    private static void injectFaultUnderLoad(Path folder, BiConsumer<TestDeployment, CallerLoad> fault) {
        try (TestDeployment deployment = new TestDeployment(folder, 4, HOSTS)) {
            deployment.configure();
            CallerLoad load = new CallerLoad(deployment, HOSTS);
            load.start();
            load.awaitAnswers(60);
            fault.accept(deployment, load);
            load.stop();
            assertAnswersMatchWorkerLogs(deployment, load);
        }
    }

    private static EntryProcess shardOwner(TestDeployment deployment) {
        String id = deployment.status(deployment.entries().get(0)).owners().stream()
                .filter(entry -> entry.partition().value().startsWith("shard"))
                .findFirst()
                .orElseThrow()
                .owner()
                .value();
        return deployment.entry(id);
    }

    /**
     * Checks that work that is never repeated started at most once, that work reported as not run did not start, and
     * that answered work started and returned its own request.
     */
    private static void assertAnswersMatchWorkerLogs(TestDeployment deployment, CallerLoad load) {
        Map<String, Integer> starts = new HashMap<>();
        for (HostPort worker : deployment.workerAddresses()) {
            readWorkerLog(worker).forEach(entry -> {
                if (entry.path("event").asText().equals("REQUEST_STARTED")) {
                    starts.merge(entry.path("detail").asText(), 1, Integer::sum);
                }
            });
        }
        for (CallerLoad.RecordedAnswer answer : load.answers()) {
            int startCount = starts.getOrDefault(answer.kind() + " " + answer.body(), 0);
            if (answer.kind().equals("booking-hold")) {
                assertThat(startCount)
                        .as("starts on workers of the request with %s", answer)
                        .isLessThanOrEqualTo(1);
            }
            if (answer.notRun()) {
                assertThat(startCount)
                        .as("starts on workers of the request with %s", answer)
                        .isZero();
            }
            if (answer.done()) {
                assertThat(startCount)
                        .as("starts on workers of the request with %s", answer)
                        .isPositive();
                assertThat(answer.text()).contains(answer.body().replace("\"", "\\\""));
            }
        }
    }

    private static JsonNode readWorkerLog(HostPort worker) {
        String text = TestDeployment.text(TestDeployment.send(worker, "GET", "/v1/log", ""));
        try {
            return JsonCodec.json().mapper().readTree(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
