package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.junit.jupiter.api.Test;

/** An owner that loads the records slowly must finish, or leave the cell to a host that can. */
final class SlowLoadTest {

    private static final String JOB_ID = "00000000000000aa";

    private static final int JOBS = 60;

    private static final int PAGE_ENTRIES = 5;

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

    /** If a failed page discarded the former ones, a list of many pages would never be read while pages fail. */
    @Test
    void ownerReadsOnlyThePageAgainThatFailed() {
        session.addWorker("w1", 100_000);
        session.addHost("h1");
        session.advance(Duration.ofSeconds(2));
        for (int i = 0; i < JOBS; i++) {
            CallerOperation submission = new CallerOperation.Submit(CellSession.job(1, 100, true));
            session.call("h1", submission, String.format("/q/%016x", i));
        }
        session.advance(Duration.ofSeconds(2));
        assertThat(session.worker("w1").running()).hasSize(JOBS);
        session.store().setPages(PAGE_ENTRIES, number -> number % 2 == 0);
        session.killHost("h1");
        session.store().endLeases();
        session.addHost("h2");
        session.advance(Duration.ofSeconds(30));
        session.call("h2", new CallerOperation.Submit(CellSession.job(1, 1_000, true)), "/q/" + JOB_ID);
        session.advance(Duration.ofSeconds(2));
        assertThat(session.running(JOB_ID)).hasSize(1);
        int pages = 2 * (JOBS / PAGE_ENTRIES);
        assertThat(session.store().pageReads()).isLessThanOrEqualTo(2 * pages);
    }
}
