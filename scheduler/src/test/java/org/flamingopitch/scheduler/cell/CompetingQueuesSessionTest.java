package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.model.ServiceName;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Admission of an urgent queue while best-effort tasks of another queue fill the workers. */
final class CompetingQueuesSessionTest {

    /** Longer than the time over which the rate of completion is averaged. */
    private static final Duration COMPLETION_WINDOW = Duration.ofSeconds(7);

    private final CellSession session = new CellSession();

    private int submittedJobs;

    @BeforeEach
    void start() {
        session.addWorker("w1", 4_000);
        session.addWorker("w2", 4_000);
        session.addHost("h1");
        session.addHost("h2");
        session.configure(
                new CellConfiguration(2, List.of(queue("urgent", 0, 1.5, 600), queue("batch", 2, 4, 60_000)), 100_000));
        session.advance(Duration.ofSeconds(3));
    }

    private static QueueSpec queue(String name, int priority, double stretch, long targetMillis) {
        return new QueueSpec(
                new QueueName(name),
                "callers.example",
                "/" + name + "/",
                new ServiceName("pool"),
                priority,
                3,
                stretch,
                targetMillis,
                3_000,
                false);
    }

    private static JobSpec urgentJob() {
        return CellSession.job(4, 1_000, false);
    }

    private static JobSpec bestEffortJob(int count, long milliCores) {
        StepSpec step = new StepSpecBuilder()
                .count(count)
                .demand(new Resources(milliCores, 100, 0))
                .estimateMillis(30_000)
                .checkpointing(true)
                .image("batch")
                .fills(true)
                .build();
        return new JobSpec("work", List.of(step), 0, 0, 0);
    }

    /** Submits a job and returns whether it was accepted. */
    private boolean submit(String queue, JobSpec spec) {
        submittedJobs++;
        String id = String.format("%016x", submittedJobs);
        List<CallerReply> replies =
                session.call("h2", new CallerOperation.Submit(spec), "/" + queue + "/" + id, Duration.ofSeconds(8));
        for (int i = 0; i < 80 && replies.isEmpty(); i++) {
            session.advance(Duration.ofMillis(100));
        }
        assertThat(replies).hasSize(1);
        return replies.get(0) instanceof CallerReply.Done;
    }

    private void fillWorkersWithBestEffortTasks() {
        assertThat(submit("batch", bestEffortJob(2, 3_950))).isTrue();
        session.advance(Duration.ofMillis(500));
        assertThat(session.worker("w1").running()).hasSize(1);
        assertThat(session.worker("w2").running()).hasSize(1);
    }

    private void submitUrgentJobsUntilOneIsRejected() {
        int accepted = 0;
        while (submit("urgent", urgentJob())) {
            accepted++;
            assertThat(accepted).isLessThan(20);
        }
    }

    private void endUrgentTasks() {
        for (String name : List.of("w1", "w2")) {
            FakeWorker worker = session.worker(name);
            worker.running().stream()
                    .filter(task -> !task.job().value().equals("0000000000000001"))
                    .forEach(task -> worker.end(task, EndKind.DONE));
        }
    }

    /** Nothing completes while nothing is admitted; a capacity that follows from completions then stays too low. */
    @Test
    void queueThatWasRejectedIsAdmittedAsSoonAsThereIsCapacity() {
        fillWorkersWithBestEffortTasks();
        submitUrgentJobsUntilOneIsRejected();
        for (int i = 0; i < 10; i++) {
            endUrgentTasks();
            session.advance(Duration.ofMillis(500));
        }
        session.advance(COMPLETION_WINDOW);
        assertThat(submit("urgent", urgentJob())).isTrue();
    }

    @Test
    void successorInOverloadRejectsAndAdmitsAsItsPredecessorDid() {
        fillWorkersWithBestEffortTasks();
        submitUrgentJobsUntilOneIsRejected();
        session.killHost("h1");
        session.store().endLeases();
        session.advance(Duration.ofSeconds(2));
        submitUrgentJobsUntilOneIsRejected();
        for (int i = 0; i < 20; i++) {
            endUrgentTasks();
            session.advance(Duration.ofMillis(500));
        }
        assertThat(submit("urgent", urgentJob())).isTrue();
    }
}
