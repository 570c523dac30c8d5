package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.junit.jupiter.api.Test;

/** An owner that cannot load the records must not keep the cell from a host that can. */
final class SlowLoadTest {

    private static final String JOB_ID = "00000000000000aa";

    private final CellSession session = new CellSession();

    @Test
    void ownerThatNeverFinishesLoadingHandsTheCellOverToAStrongerHost() {
        session.addWorker("w1", 4_000);
        session.partitions().loseRecordLists("weak");
        session.addHost("weak", 0.2);
        session.advance(Duration.ofSeconds(2));
        assertThat(session.node("weak").ownsCell()).isTrue();
        session.addHost("strong", 4);
        session.advance(Duration.ofSeconds(5));
        assertThat(session.node("strong").ownsCell()).isTrue();
        session.call("strong", new CallerOperation.Submit(CellSession.job(1, 1_000, true)), "/q/" + JOB_ID);
        session.advance(Duration.ofSeconds(2));
        assertThat(session.running(JOB_ID)).hasSize(1);
    }
}
