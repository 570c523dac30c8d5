package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.feature.FeatureGate;
import org.flamingopitch.scheduler.cell.feature.FeatureGates;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A gate without an effect would make an ablation call its mechanism worthless. Each test plays a cell with and without. */
final class FeatureGateSessionTest {

    private static final String JOB_ID = "00000000000000aa";

    private static final String OTHER_ID = "00000000000000bb";

    private final CellSession session = new CellSession();

    private void start(FeatureGate gate, boolean on) {
        if (!on) {
            session.setGates(FeatureGates.without(gate));
        }
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
    }

    private List<CallerReply> submit(String job, JobSpec spec) {
        return session.call("h1", new CallerOperation.Submit(spec), "/q/" + job);
    }

    private static JobSpec job(StepSpec step) {
        return new JobSpec("work", List.of(step), 0, 0, 0);
    }

    private static StepSpecBuilder step(int count, long milliCores, long estimateMillis) {
        return new StepSpecBuilder()
                .count(count)
                .demand(new Resources(milliCores, 100, 0))
                .estimateMillis(estimateMillis);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void admissionRejectsAJobThatWouldNotBeDoneInTime(boolean on) {
        session.addWorker("w1", 4_000);
        start(FeatureGate.ADMISSION, on);
        List<CallerReply> replies = submit(JOB_ID, CellSession.job(40, 1_000, false));
        session.advance(Duration.ofMillis(100));
        assertThat(replies).hasSize(1);
        assertThat(replies.get(0) instanceof CallerReply.Refused).isEqualTo(on);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void outageRefusalsAnswerBeforeTheDeadline(boolean on) {
        session.addWorker("w1", 4_000);
        start(FeatureGate.OUTAGE_REFUSALS, on);
        session.store().setUnavailable(true);
        submit(JOB_ID, CellSession.job(1, 100, false));
        session.advance(Duration.ofMillis(100));
        List<CallerReply> replies = submit(OTHER_ID, CellSession.job(1, 100, false));
        session.advance(Duration.ofMillis(800));
        assertThat(replies).hasSize(on ? 1 : 0);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void copyOfAStragglerIsStarted(boolean on) {
        for (String name : List.of("w1", "w2", "w3")) {
            session.addWorker(name, 64_000)
                    .setDurations((task, run) -> task.toString().equals(JOB_ID + ".0.0.0") ? 20_000L : 1_000L);
        }
        start(FeatureGate.COPIES, on);
        submit(OTHER_ID, job(step(60, 1_000, 1_000).build()));
        session.advance(Duration.ofSeconds(3));
        submit(JOB_ID, job(step(10, 1_000, 1_000).speculative(true).build()));
        session.advance(Duration.ofSeconds(5));
        assertThat(session.running(JOB_ID)).hasSize(on ? 2 : 1);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void bestEffortTaskIsPreemptedForAnUrgentOne(boolean on) {
        session.addWorker("w1", 4_000);
        start(FeatureGate.PREEMPTION, on);
        session.configure(new CellConfiguration(
                2, List.of(SampleQueues.queue("urgent", 0), SampleQueues.queue("batch", 2)), 100_000));
        session.advance(Duration.ofMillis(100));
        StepSpec batch = step(2, 500, 30_000)
                .demand(new Resources(500, 49_000, 0))
                .fills(true)
                .build();
        StepSpec urgent =
                step(1, 1_000, 1_000).demand(new Resources(1_000, 20_000, 0)).build();
        session.call("h1", new CallerOperation.Submit(job(batch)), "/batch/" + JOB_ID);
        session.advance(Duration.ofMillis(300));
        session.call("h1", new CallerOperation.Submit(job(urgent)), "/urgent/" + OTHER_ID);
        session.advance(Duration.ofMillis(600));
        assertThat(session.running(OTHER_ID)).hasSize(on ? 1 : 0);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void taskWaitsForItsRack(boolean on) {
        session.setFarFactor(3);
        session.addWorker("near", 1_000).setRack("near");
        session.addWorker("far", 8_000).setRack("far");
        start(FeatureGate.RACK_WAITS, on);
        submit(JOB_ID, job(SampleSteps.preferringRack(1, 1_000, "near")));
        session.advance(Duration.ofMillis(300));
        submit(OTHER_ID, job(SampleSteps.preferringRack(1, 1_000, "near")));
        session.advance(Duration.ofMillis(100));
        assertThat(session.running(OTHER_ID)).hasSize(on ? 0 : 1);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void runWithoutProgressIsStopped(boolean on) {
        session.addWorker("w1", 4_000).setReportedPercent(10);
        start(FeatureGate.STALL_DETECTION, on);
        submit(JOB_ID, job(step(1, 1_000, 500).build()));
        session.advance(Duration.ofMillis(300));
        boolean stopped = false;
        for (int i = 0; i < 57; i++) {
            stopped |= session.running(JOB_ID).isEmpty();
            session.advance(Duration.ofMillis(100));
        }
        assertThat(stopped).isEqualTo(on);
    }
}
