package org.flamingopitch.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.flamingopitch.daemon.process.TestDeployment.EntryProcess;
import org.flamingopitch.transport.http.HttpOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Three entry hosts and the stand-ins as processes of their own serve each kind of work from end to end. */
final class ServeProcessesTest {

    @Test
    void servesEachKindAtAnotherHostThanTheOneThatDecides(@TempDir Path folder) throws InterruptedException {
        try (TestDeployment deployment = new TestDeployment(folder, 4, 3)) {
            deployment.configure();
            servesPriceChecks(deployment);
            servesHolds(deployment);
            servesRenders(deployment);
            EntryProcess last = deployment.entries().get(2);
            last.process().terminate();
            assertThat(last.process().awaitExit()).isEqualTo(143);
        }
    }

    private static void servesPriceChecks(TestDeployment deployment) {
        for (EntryProcess entry : deployment.entries()) {
            HttpOutcome answer =
                    TestDeployment.send(entry.callers(), "POST", "/v1/run/price-check", "{\"item\":\"chair\"}");
            assertThat(TestDeployment.text(answer)).endsWith("\"echo\":\"{\\\"item\\\":\\\"chair\\\"}\"}");
        }
    }

    private static void servesHolds(TestDeployment deployment) {
        List<EntryProcess> entries = deployment.entries();
        String path = "/v1/run/booking-hold?key=room-7";
        HttpOutcome first = TestDeployment.send(entries.get(0).callers(), "POST", path, "{\"room\":7}");
        assertThat(TestDeployment.text(first)).contains("room");
        for (EntryProcess entry : entries) {
            HttpOutcome again = TestDeployment.send(entry.callers(), "POST", path, "{\"room\":7}");
            assertThat(TestDeployment.text(again)).isEqualTo(TestDeployment.text(first));
        }
    }

    private static void servesRenders(TestDeployment deployment) {
        for (EntryProcess entry : deployment.entries()) {
            String key = "render-" + entry.id();
            String submit = "/v1/jobs/render?key=" + key;
            HttpOutcome accepted = TestDeployment.send(entry.callers(), "POST", submit, "{\"workMillis\":1500}");
            assertThat(TestDeployment.succeeded(accepted))
                    .as(TestDeployment.text(accepted))
                    .isTrue();
            String path = "/v1/jobs/" + key;
            deployment.awaitAnswer(
                    entry.callers(),
                    "GET",
                    path,
                    "",
                    shown -> TestDeployment.text(shown).contains("RUNNING"));
            TestDeployment.send(entry.operators(), "POST", path + "/evict", "");
            HttpOutcome finished = deployment.awaitAnswer(
                    entry.callers(),
                    "GET",
                    path,
                    "",
                    shown -> TestDeployment.text(shown).contains("FINISHED"));
            assertThat(TestDeployment.text(finished)).contains("\"attempts\":2,\"evictions\":1");
        }
    }
}
