package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.owner.CellOwner;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The analysis of logs reads the work and the number of tasks of a job, and the inputs of a rejection, from here. */
final class AdmissionLogTest {

    private static final Logger OWNER_LOGGER = Logger.getLogger(CellOwner.class.getName());

    private final CellSession session = new CellSession();

    private final List<String> lines = new CopyOnWriteArrayList<>();

    private final Handler recorder = new Handler() {
        @Override
        public void publish(LogRecord record) {
            lines.add(record.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @BeforeEach
    void start() {
        OWNER_LOGGER.addHandler(recorder);
        session.addWorker("w1", 4_000);
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
    }

    @AfterEach
    void stopRecording() {
        OWNER_LOGGER.removeHandler(recorder);
    }

    @Test
    void submittedLineHasTheWorkAndTheNumberOfTasks() {
        session.call("h1", new CallerOperation.Submit(CellSession.job(3, 500, false)), "/q/00000000000000aa");
        session.advance(Duration.ofMillis(100));
        assertThat(lines)
                .anyMatch(line -> line.contains(
                        "event=submitted job=00000000000000aa queue=q steps=1 tasks=3 work_core_ms=1500 "));
    }

    @Test
    void refusedLineHasTheInputsOfTheDecision() {
        session.call("h1", new CallerOperation.Submit(CellSession.job(40, 1_000, false)), "/q/00000000000000aa");
        session.advance(Duration.ofMillis(100));
        assertThat(lines)
                .anyMatch(line -> line.contains("event=refused job=00000000000000aa queue=q reason=backlog wait_ms=")
                        && line.contains("work_ahead_core_ms=40000 capacity_cores=4.0 critical_path_ms=1000")
                        && line.contains("allowed_ms=4200 retry_ms=")
                        && line.contains("share=1.00 work_core_ms=40000"));
    }
}
