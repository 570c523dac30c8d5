package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The owner must say why a job has nothing at work, and stop saying so when this is over or another host says it. */
final class IdleJobLogSessionTest {

    private static final String JOB_ID = "00000000000000aa";

    private final CellSession session = new CellSession();

    private final RecordedLog log = new RecordedLog("org.flamingopitch.scheduler.cell.owner.IdleJobLogger");

    @BeforeEach
    void submitAJobThatOneRackMayRun() {
        session.addWorker("w1", 4_000).setRack("r1");
        session.addWorker("draining", 4_000).setDraining(true);
        session.addWorker("silent", 4_000).setUnresponsive(true);
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
        StepSpec step = new StepSpecBuilder()
                .demand(new Resources(1_000, 100, 0))
                .requiredLabel("r2")
                .build();
        session.call("h1", new CallerOperation.Submit(new JobSpec("work", List.of(step), 0, 0, 0)), "/q/" + JOB_ID);
        session.advance(Duration.ofSeconds(5));
    }

    @AfterEach
    void stopRecording() {
        log.close();
    }

    @Test
    void idleJobIsLoggedAndMeasuredUntilItRuns() {
        assertThat(log.lines())
                .isNotEmpty()
                .allMatch(line -> line.startsWith("event=job_idle job=" + JOB_ID + " "))
                .allMatch(line -> line.contains(" label=r2 "))
                .allMatch(line -> line.endsWith(" draining=1 not_answering=1 not_permitted=1"));
        assertThat(session.metrics().longestIdleTime()).isGreaterThanOrEqualTo(Duration.ofSeconds(2));
        session.addWorker("w2", 4_000).setRack("r2");
        session.advance(Duration.ofSeconds(5));
        assertThat(session.running(JOB_ID)).hasSize(1);
        assertThat(session.metrics().longestIdleTime()).isZero();
        int lines = log.lines().size();
        session.advance(Duration.ofSeconds(5));
        assertThat(log.lines()).hasSize(lines);
    }

    /** A series of owners, each of which has just been elected, must not hide how long the job has waited. */
    @Test
    void idleTimeOfAJobThatNeverRanSurvivesATakeover() {
        session.killHost("h1");
        session.store().endLeases();
        session.addHost("h2");
        session.advance(Duration.ofMillis(1_500));
        assertThat(session.node("h2").ownsCell()).isTrue();
        assertThat(session.metrics().longestIdleTime()).isGreaterThanOrEqualTo(Duration.ofSeconds(5));
        assertThat(log.lines().get(log.lines().size() - 1)).matches(".* idle_ms=[56][0-9]{3} .*");
    }

    /** A former owner that keeps its last value would show an idle job for good. */
    @Test
    void formerOwnerMeasuresNoIdleTime() {
        assertThat(session.metrics().longestIdleTime()).isPositive();
        assertThat(session.metrics().serviceCores()).hasSize(1);
        session.node("h1").drain();
        session.advance(Duration.ofSeconds(1));
        assertThat(session.node("h1").ownsCell()).isFalse();
        assertThat(session.metrics().longestIdleTime()).isZero();
        assertThat(session.metrics().serviceCores()).isEmpty();
    }
}
