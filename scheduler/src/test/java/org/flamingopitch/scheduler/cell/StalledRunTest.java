package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.junit.jupiter.api.Test;

/** A run of which the owner has not heard must not be taken for one that makes no progress. */
final class StalledRunTest {

    private static final String JOB_ID = "00000000000000aa";

    private final CellSession session = new CellSession();

    @Test
    void runIsNotStoppedAsStalledWhileItsWorkerIsNotPolledDuringAStoreOutage() {
        session.addWorker("w1", 4_000);
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
        session.call("h1", new CallerOperation.Submit(CellSession.job(2, 1_000, false)), "/q/" + JOB_ID);
        session.advance(Duration.ofMillis(300));
        FakeWorker worker = session.worker("w1");
        assertThat(worker.running()).hasSize(2);
        session.store().setUnavailable(true);
        session.advance(Duration.ofMillis(200));
        TaskRef first = worker.running().iterator().next();
        worker.end(first, EndKind.DONE);
        session.advance(Duration.ofSeconds(4));
        session.store().setUnavailable(false);
        session.advance(Duration.ofSeconds(2));
        assertThat(worker.running()).hasSize(1).doesNotContain(first);
        assertThat(worker.started()).hasSize(2);
    }
}
