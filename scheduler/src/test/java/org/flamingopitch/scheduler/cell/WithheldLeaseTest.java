package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The lease of a worker that does not answer a stop is withheld, which ends its long-running tasks too, whatever their
 * disruption budget. This must not happen for a stop that is answered late, and the tasks must run again afterwards.
 */
final class WithheldLeaseTest {

    private static final String LONG_RUNNING_JOB = "00000000000000aa";

    private static final String CANCELLED_JOB = "00000000000000bb";

    private static final int TASKS = 3;

    private final CellSession session = new CellSession();

    private FakeWorker worker;

    @BeforeEach
    void startTasksAndLoseTheStopOfAnother() {
        worker = session.addWorker("w1", 8_000);
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
        session.call("h1", new CallerOperation.Submit(CellSession.job(TASKS, 1_000, true)), "/q/" + LONG_RUNNING_JOB);
        session.call("h1", new CallerOperation.Submit(CellSession.job(1, 1_000, false)), "/q/" + CANCELLED_JOB);
        session.advance(Duration.ofSeconds(5));
        assertThat(worker.running()).hasSize(TASKS + 1);
        worker.setStopsLost(true);
        session.call("h1", new CallerOperation.Cancel(), "/q/" + CANCELLED_JOB);
    }

    private int lowestRunning(Duration time) {
        int lowest = TASKS;
        for (long millis = 0; millis < time.toMillis(); millis += 20) {
            session.advance(Duration.ofMillis(20));
            lowest = Math.min(lowest, session.running(LONG_RUNNING_JOB).size());
        }
        return lowest;
    }

    @Test
    void stopThatIsAnsweredWithinFourSecondsEndsNoLongRunningTask() {
        assertThat(lowestRunning(Duration.ofMillis(3_900))).isEqualTo(TASKS);
        worker.setStopsLost(false);
        assertThat(lowestRunning(Duration.ofSeconds(12))).isEqualTo(TASKS);
        assertThat(session.running(CANCELLED_JOB)).isEmpty();
    }

    @Test
    void longRunningTasksRunAgainAfterAStopThatWasNeverAnswered() {
        assertThat(lowestRunning(Duration.ofSeconds(8))).isEqualTo(TASKS);
        assertThat(lowestRunning(Duration.ofSeconds(4))).isZero();
        session.advance(Duration.ofSeconds(3));
        assertThat(session.running(LONG_RUNNING_JOB)).hasSize(TASKS);
        assertThat(session.running(CANCELLED_JOB)).isEmpty();
    }
}
