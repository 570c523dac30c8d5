package org.flamingopitch.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.flamingopitch.daemon.process.TestDeployment.EntryProcess;
import org.flamingopitch.transport.http.HttpOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests with one process for each entry host and stand-in that every host serves each kind of work. */
final class ServeProcessesTest {

    @Test
    void servesEachKindOfWorkThroughEveryEntryHost(@TempDir Path folder) throws InterruptedException {
        try (TestDeployment deployment = new TestDeployment(folder, 4, 3)) {
            deployment.configure();
            assertPriceChecksAreAnswered(deployment);
            assertHoldWithOneKeyGetsOneAnswer(deployment);
            assertEvictedRenderFinishes(deployment);
            EntryProcess last = deployment.entries().get(2);
            last.process().terminate();
            assertThat(last.process().awaitExit()).isEqualTo(143);
        }
    }

    private static void assertPriceChecksAreAnswered(TestDeployment deployment) {
        for (EntryProcess entry : deployment.entries()) {
            HttpOutcome answer =
                    TestDeployment.send(entry.callerAddress(), "POST", "/v1/run/price-check", "{\"item\":\"chair\"}");
            assertThat(TestDeployment.text(answer)).endsWith("\"echo\":\"{\\\"item\\\":\\\"chair\\\"}\"}");
        }
    }

    private static void assertHoldWithOneKeyGetsOneAnswer(TestDeployment deployment) {
        List<EntryProcess> entries = deployment.entries();
        String path = "/v1/run/booking-hold?key=room-7";
        HttpOutcome first = TestDeployment.send(entries.get(0).callerAddress(), "POST", path, "{\"room\":7}");
        assertThat(TestDeployment.text(first)).contains("room");
        for (EntryProcess entry : entries) {
            HttpOutcome repeated = TestDeployment.send(entry.callerAddress(), "POST", path, "{\"room\":7}");
            assertThat(TestDeployment.text(repeated)).isEqualTo(TestDeployment.text(first));
        }
    }

    private static void assertEvictedRenderFinishes(TestDeployment deployment) {
        for (EntryProcess entry : deployment.entries()) {
            String key = "render-" + entry.id();
            String submit = "/v1/jobs/render?key=" + key;
            HttpOutcome accepted = TestDeployment.send(entry.callerAddress(), "POST", submit, "{\"workMillis\":1500}");
            assertThat(TestDeployment.succeeded(accepted))
                    .as(TestDeployment.text(accepted))
                    .isTrue();
            String path = "/v1/jobs/" + key;
            deployment.awaitAnswer(
                    entry.callerAddress(),
                    "GET",
                    path,
                    "",
                    outcome -> TestDeployment.text(outcome).contains("RUNNING"));
            TestDeployment.send(entry.operatorAddress(), "POST", path + "/evict", "");
            HttpOutcome finished = deployment.awaitAnswer(
                    entry.callerAddress(),
                    "GET",
                    path,
                    "",
                    outcome -> TestDeployment.text(outcome).contains("FINISHED"));
            assertThat(TestDeployment.text(finished)).contains("\"attempts\":2,\"evictions\":1");
        }
    }
}
