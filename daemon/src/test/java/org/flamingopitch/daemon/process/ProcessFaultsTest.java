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

/** Kills, pauses, outages and replacements of real processes; what callers saw is checked against the workers' logs. */
final class ProcessFaultsTest {

    private static final int HOSTS = 3;

    @Test
    void losesNothingWhenAnOwnerIsKilled(@TempDir Path folder) {
        underLoad(folder, (deployment, load) -> {
            owner(deployment).process().kill();
            load.awaitMoreAnswers(60);
        });
    }

    @Test
    void keepsThePromisesWhenAnOwnerIsPausedPastItsLease(@TempDir Path folder) {
        underLoad(folder, (deployment, load) -> {
            EntryProcess owner = owner(deployment);
            EntryProcess other = deployment.entries().stream()
                    .filter(entry -> entry != owner)
                    .findFirst()
                    .orElseThrow();
            owner.process().signal("STOP");
            Awaitility.await()
                    .atMost(Duration.ofSeconds(20))
                    .until(() -> deployment.status(other).owners().stream()
                            .noneMatch(entry -> entry.owner().value().equals(owner.id())));
            owner.process().signal("CONT");
            load.awaitMoreAnswers(60);
        });
    }

    @Test
    void goesOnWhileTheStoreIsAway(@TempDir Path folder) {
        underLoad(folder, (deployment, load) -> {
            deployment.killStore();
            load.awaitMoreAnswers(120);
            long answeredInOutage = load.priceAnswersInARow();
            assertThat(answeredInOutage).isPositive();
        });
    }

    @Test
    void losesNothingWhenAllHostsAreReplacedOneByOne(@TempDir Path folder) throws InterruptedException {
        try (TestDeployment deployment = new TestDeployment(folder, 4, HOSTS)) {
            deployment.configure();
            String key = "render-rolling";
            HostPort first = deployment.entries().get(0).callers();
            TestDeployment.send(first, "POST", "/v1/jobs/render?key=" + key, "{\"workMillis\":8000}");
            List<EntryProcess> old = List.copyOf(deployment.entries());
            for (EntryProcess entry : old) {
                EntryProcess replacement =
                        deployment.startEntry("new-" + entry.id().substring(0, 7));
                deployment.awaitAnswer(
                        replacement.callers(), "POST", "/v1/run/price-check", "{}", TestDeployment::succeeded);
                entry.process().terminate();
                entry.process().awaitExit();
            }
            EntryProcess last = deployment.entries().get(deployment.entries().size() - 1);
            HttpOutcome finished = deployment.awaitAnswer(
                    last.callers(),
                    "GET",
                    "/v1/jobs/" + key,
                    "",
                    shown -> TestDeployment.text(shown).contains("FINISHED"));
            assertThat(TestDeployment.text(finished)).contains("\"attempts\":1");
        }
    }

    /** Lets a fault strike a deployment under load, then compares what callers were told with what workers logged. */
    private static void underLoad(Path folder, BiConsumer<TestDeployment, CallerLoad> fault) {
        try (TestDeployment deployment = new TestDeployment(folder, 4, HOSTS)) {
            deployment.configure();
            CallerLoad load = new CallerLoad(deployment, HOSTS);
            load.start();
            load.awaitAnswers(60);
            fault.accept(deployment, load);
            load.stop();
            assertPromises(deployment, load);
        }
    }

    private static EntryProcess owner(TestDeployment deployment) {
        String id = deployment.status(deployment.entries().get(0)).owners().stream()
                .filter(entry -> entry.partition().value().startsWith("shard"))
                .findFirst()
                .orElseThrow()
                .owner()
                .value();
        return deployment.entry(id);
    }

    /** Compares what callers were told with what the workers logged. */
    private static void assertPromises(TestDeployment deployment, CallerLoad load) {
        Map<String, Integer> starts = new HashMap<>();
        for (HostPort worker : deployment.workers()) {
            readLog(worker).forEach(entry -> {
                if (entry.path("event").asText().equals("REQUEST_STARTED")) {
                    starts.merge(entry.path("detail").asText(), 1, Integer::sum);
                }
            });
        }
        for (CallerLoad.Told told : load.told()) {
            int ran = starts.getOrDefault(told.kind() + " " + told.body(), 0);
            if (told.kind().equals("booking-hold")) {
                assertThat(ran).as("runs of %s", told).isLessThanOrEqualTo(1);
            }
            if (told.notRun()) {
                assertThat(ran).as("runs of %s", told).isZero();
            }
            if (told.done()) {
                assertThat(ran).as("runs of %s", told).isPositive();
                assertThat(told.answer()).contains(told.body().replace("\"", "\\\""));
            }
        }
    }

    private static JsonNode readLog(HostPort worker) {
        String text = TestDeployment.text(TestDeployment.send(worker, "GET", "/v1/log", ""));
        try {
            return JsonCodec.json().mapper().readTree(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
