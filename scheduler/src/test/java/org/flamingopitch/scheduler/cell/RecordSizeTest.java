package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What happens to a task again and again must not let the record of its job grow to what the store rejects. */
final class RecordSizeTest {

    private static final String JOB_ID = "00000000000000aa";

    private static final String PROGRESS = "flamingopitch/progress/" + JOB_ID;

    /** The store's page and a slow link bear this for each task of a part; a usual record has about 100 bytes. */
    private static final int MAX_TASK_BYTES = 4_000;

    private final CellSession session = new CellSession();

    private FakeWorker worker;

    @BeforeEach
    void startTask() {
        worker = session.addWorker("w1", 16_000);
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
        session.call("h1", new CallerOperation.Submit(CellSession.job(1, 1_000, true)), "/q/" + JOB_ID);
        session.advance(Duration.ofMillis(500));
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    private int recordBytes() {
        return session.store().value(PROGRESS).length();
    }

    @Test
    void failuresOfALongRunningTaskDoNotLetItsRecordGrow() {
        int runs = 0;
        int bytesAfterTen = 0;
        while (runs < 200) {
            for (TaskRef task : worker.running()) {
                worker.end(task, EndKind.FAILED);
                runs++;
                bytesAfterTen = runs == 10 ? recordBytes() : bytesAfterTen;
            }
            session.advance(Duration.ofMillis(200));
        }
        session.advance(Duration.ofSeconds(1));
        assertThat(recordBytes()).isLessThan(bytesAfterTen + 50);
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    @Test
    void checkpointThatIsTooLongIsNotStored() {
        worker.setCheckpoint("c".repeat(100_000));
        worker.running().forEach(task -> worker.end(task, EndKind.STOPPED));
        session.advance(Duration.ofSeconds(1));
        assertThat(recordBytes()).isLessThan(MAX_TASK_BYTES);
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    @Test
    void usualCheckpointIsStored() {
        worker.setCheckpoint("00000bb87a21d94b");
        worker.running().forEach(task -> worker.end(task, EndKind.STOPPED));
        session.advance(Duration.ofSeconds(1));
        assertThat(session.store().value(PROGRESS)).contains("00000bb87a21d94b");
    }
}
