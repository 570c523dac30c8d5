package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.owner.CellOwner;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The analysis of logs reads the work and the number of tasks of a job, and the inputs of a rejection, from here. */
final class AdmissionLogTest {

    private final CellSession session = new CellSession();

    private final RecordedLog log = new RecordedLog(CellOwner.class.getPackageName());

    @BeforeEach
    void start() {
        session.addWorker("w1", 4_000);
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
    }

    @AfterEach
    void stopRecording() {
        log.close();
    }

    @Test
    void submittedLineHasTheWorkAndTheNumberOfTasks() {
        session.call("h1", new CallerOperation.Submit(CellSession.job(3, 500, false)), "/q/00000000000000aa");
        session.advance(Duration.ofMillis(100));
        assertThat(log.lines())
                .anyMatch(line -> line.contains(
                        "event=submitted job=00000000000000aa queue=q steps=1 tasks=3 work_core_ms=1500 "));
    }

    @Test
    void refusedLineHasTheInputsOfTheDecision() {
        session.call("h1", new CallerOperation.Submit(CellSession.job(40, 1_000, false)), "/q/00000000000000aa");
        session.advance(Duration.ofMillis(100));
        assertThat(log.lines())
                .anyMatch(line -> line.contains("event=refused job=00000000000000aa queue=q reason=backlog wait_ms=")
                        && line.contains("work_ahead_core_ms=40000 capacity_cores=4.0 critical_path_ms=1000")
                        && line.contains("allowed_ms=4200 retry_ms=")
                        && line.contains("share=1.00 work_core_ms=40000"));
    }
}
