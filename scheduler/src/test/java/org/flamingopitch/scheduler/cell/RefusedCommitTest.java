package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.owner.CellKeys;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The store refuses the commits of an owner, as one that has too many calls, but renews the lease of its key. Leases of
 * workers that are not extended end work.
 */
final class RefusedCommitTest {

    private static final String JOB_ID = "00000000000000aa";

    private static final int TASKS = 3;

    private final CellSession session = new CellSession();

    @BeforeEach
    void startTasks() {
        session.store().setLeasesExpire(true);
        session.addWorker("w1", 8_000);
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
        session.call("h1", new CallerOperation.Submit(CellSession.job(TASKS, 1_000, true)), "/q/" + JOB_ID);
        session.advance(Duration.ofSeconds(15));
        assertThat(session.running(JOB_ID)).hasSize(TASKS);
    }

    private int lowestRunning(Duration time) {
        int lowest = TASKS;
        for (long millis = 0; millis < time.toMillis(); millis += 20) {
            session.advance(Duration.ofMillis(20));
            lowest = Math.min(lowest, session.running(JOB_ID).size());
        }
        return lowest;
    }

    private void refuseCommits(boolean refused) {
        session.store().setRefusedKeys(key -> refused && key.equals(CellKeys.LEDGER));
    }

    @Test
    void ownerThatHasCommittedBeforeGoesOnWithItsLeases() {
        refuseCommits(true);
        session.call("h1", new CallerOperation.Submit(CellSession.job(1, 1_000, false)), "/q/00000000000000bb");
        assertThat(lowestRunning(Duration.ofSeconds(30))).isEqualTo(TASKS);
        assertThat(session.running("00000000000000bb")).isEmpty();
        refuseCommits(false);
        assertThat(lowestRunning(Duration.ofSeconds(15))).isEqualTo(TASKS);
    }

    @ParameterizedTest
    @ValueSource(ints = {500, 2_000, 3_500})
    void successorWhoseFirstCommitsAreRefusedForAWhileLosesNoWork(int refusedMillis) {
        assertThat(lowestRunningAfterATakeover(Duration.ofMillis(refusedMillis)))
                .isEqualTo(TASKS);
    }

    /** The lease of its key is renewed, so that no other host can take over meanwhile. */
    @Test
    void successorWhoseFirstCommitsAreRefusedForLongLosesNoWork() {
        assertThat(lowestRunningAfterATakeover(Duration.ofSeconds(5))).isEqualTo(TASKS);
    }

    /** Returns the lowest number of running tasks if the commits of a successor are refused after its election. */
    private int lowestRunningAfterATakeover(Duration refusedFor) {
        String former = session.node("h1").ownsCell() ? "h1" : "h2";
        String successor = former.equals("h1") ? "h2" : "h1";
        session.killHost(former);
        refuseCommits(true);
        session.advance(Duration.ofSeconds(1));
        for (int millis = 0; !session.node(successor).ownsCell(); millis += 5) {
            assertThat(millis).isLessThan(5_000);
            session.advance(Duration.ofMillis(5));
        }
        int lowest = lowestRunning(refusedFor);
        refuseCommits(false);
        return Math.min(lowest, lowestRunning(Duration.ofSeconds(15)));
    }
}
