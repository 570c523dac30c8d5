package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that a worker which starts again under its id gets no tasks for what its former life was: its kind, its address
 * and its capacity may have changed.
 */
final class RestartedWorkerSessionTest {

    private static final String JOB_ID = "00000000000000aa";

    private static final String OTHER_JOB_ID = "00000000000000bb";

    /** As long as a report may take that waits for the end of a run. */
    private static final Duration LONG_POLL = Duration.ofMillis(1_500);

    private final CellSession session = new CellSession();

    private void submit(String id, int count, String label) {
        StepSpec step = new StepSpecBuilder()
                .count(count)
                .demand(new Resources(1_000, 100, 0))
                .estimateMillis(1_000)
                .requiredLabel(label)
                .build();
        JobSpec spec = new JobSpec("work", List.of(step), 0, 0, 0);
        session.call("h1", new CallerOperation.Submit(spec), "/q/" + id);
    }

    /** The owner lists the entries each 800 ms, so that the restart comes at any time before a listing. */
    @ParameterizedTest
    @ValueSource(ints = {0, 100, 200, 300, 400, 500, 600, 700})
    void tasksThatNeedALabelAreNotStartedOnALifeWithoutIt(int restartMillis) {
        session.addWorker("w1", 4_000);
        session.addWorker("w2", 4_000).setRack("r2");
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
        submit(JOB_ID, 12, "r1");
        session.advance(Duration.ofSeconds(1).plusMillis(restartMillis));
        int before = session.worker("w1").started().size();
        assertThat(before).isEqualTo(4);
        session.worker("w1").setRack("r2");
        session.worker("w1").restart();
        session.advance(Duration.ofSeconds(3));
        assertThat(session.worker("w1").started()).hasSize(before);
        session.worker("w1").setRack("r1");
        session.worker("w1").restart();
        session.advance(Duration.ofSeconds(3));
        assertThat(session.worker("w1").running()).hasSize(4);
    }

    /** The first report of a life that moved may come after another worker has answered at its former address. */
    @ParameterizedTest
    @ValueSource(ints = {100, 300, 500, 700, 900})
    void runIsNotStartedAgainWhenAnotherWorkerAnswersAtTheFormerAddress(int taskMillis) {
        session.addWorker("w1", 4_000);
        session.addWorker("w2", 4_000).setRack("r2");
        session.addWorker("w3", 4_000);
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
        String formerAddress = session.worker("w1").address();
        session.worker("w1").restartAt("w1:2");
        session.advance(Duration.ofSeconds(4));
        session.worker("w2").restartAt(formerAddress);
        session.advance(Duration.ofSeconds(3));
        session.worker("w3").setDraining(true);
        session.advance(Duration.ofSeconds(1));
        session.partitions().setReportLatency("w1", LONG_POLL);
        submit(JOB_ID, 1, "r1");
        submit(OTHER_JOB_ID, 1, "r2");
        session.worker("w3").setDraining(false);
        session.advance(Duration.ofMillis(taskMillis));
        session.worker("w2").running().forEach(task -> session.worker("w2").end(task, EndKind.DONE));
        session.advance(LONG_POLL);
        assertThat(session.running(JOB_ID)).hasSize(1);
        assertThat(session.worker("w3").started()).isEmpty();
    }
}
