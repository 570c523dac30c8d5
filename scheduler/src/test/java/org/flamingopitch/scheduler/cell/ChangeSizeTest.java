package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A change of one task must not write the whole job again: the link and the store bound the bytes, not the job. */
final class ChangeSizeTest {

    private static final String JOB_ID = "00000000000000aa";

    private static final String PROGRESS = "flamingopitch/progress/" + JOB_ID;

    /** A part holds 64 tasks, each with a worker, its address and incarnation: less than 128 bytes. */
    private static final long MAX_CHANGE_BYTES = 64 * 128;

    private static final int WORKERS = 40;

    private final CellSession session = new CellSession();

    private long bytesOf(Runnable change) {
        long before = session.store().writtenBytes(PROGRESS);
        change.run();
        session.advance(Duration.ofSeconds(1));
        return session.store().writtenBytes(PROGRESS) - before;
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 300, 9_999})
    void changeOfOneTaskWritesAtMostItsPart(int tasks) {
        for (int i = 0; i < WORKERS; i++) {
            session.addWorker("worker-" + i, 100_000);
        }
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
        session.call("h1", new CallerOperation.Submit(CellSession.job(tasks, 1, false)), "/q/" + JOB_ID);
        session.advance(Duration.ofSeconds(20));
        assertThat(session.running(JOB_ID)).hasSize(tasks);
        long restart = bytesOf(() -> end(tasks / 2, EndKind.FAILED));
        assertThat(session.running(JOB_ID)).hasSize(tasks);
        long end = bytesOf(() -> end(tasks / 3, EndKind.DONE));
        assertThat(end).as("bytes of an end").isPositive().isLessThanOrEqualTo(MAX_CHANGE_BYTES);
        assertThat(restart)
                .as("bytes of a failure and the next start")
                .isGreaterThanOrEqualTo(end)
                .isLessThanOrEqualTo(2 * MAX_CHANGE_BYTES);
    }

    private void end(int index, EndKind kind) {
        for (int i = 0; i < WORKERS; i++) {
            FakeWorker worker = session.worker("worker-" + i);
            List.copyOf(worker.running()).stream()
                    .filter(task -> task.index() == index)
                    .forEach(task -> worker.end(task, kind));
        }
    }
}
