package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.junit.jupiter.api.Test;

/** A start that is executed late, by a later incarnation of its worker, must not find its task running elsewhere. */
final class LateStartTest {

    private static final String JOB_ID = "00000000000000aa";

    /** Longer than the delay after which an unanswered start is repeated. */
    private static final long START_DELAY_MILLIS = 1_050;

    private final CellSession session = new CellSession();

    @Test
    void repeatedStartThatReachesARestartedWorkerDoesNotRunBesideTheNextRun() {
        session.addWorker("w1", 4_000).setStartDelayMillis(START_DELAY_MILLIS);
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
        session.call("h1", new CallerOperation.Submit(CellSession.job(1, 1_000, false)), "/q/" + JOB_ID);
        session.advance(Duration.ofMillis(100));
        // The smaller worker is preferred for the next run.
        session.addWorker("w2", 1_000);
        advanceUntilRunning();
        session.worker("w1").restart();
        session.worker("w1").setStartDelayMillis(0);
        for (int i = 0; i < 400; i++) {
            session.advance(Duration.ofMillis(10));
            assertThat(session.running(JOB_ID)).hasSizeLessThanOrEqualTo(1);
        }
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    private void advanceUntilRunning() {
        for (int i = 0; i < 300 && session.running(JOB_ID).isEmpty(); i++) {
            session.advance(Duration.ofMillis(10));
        }
        session.advance(Duration.ofMillis(200));
        assertThat(session.running(JOB_ID)).hasSize(1);
    }
}
