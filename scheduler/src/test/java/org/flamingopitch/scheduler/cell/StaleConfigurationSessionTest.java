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
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that jobs belong to their queue as in the newest configuration that any host has used, not in an older one. */
final class StaleConfigurationSessionTest {

    private static final String JOB_ID = "00000000000000aa";

    private static final String JOB_PATH = "/q/" + JOB_ID;

    private static final String FORMER_SERVICE = "pool";

    private static final String LATER_SERVICE = "later";

    /** The platform counts a job as lost that has nothing running for 3 s. */
    private static final Duration LOST_LIMIT = Duration.ofSeconds(3);

    private final CellSession session = new CellSession();

    private String owner;

    private String other;

    @BeforeEach
    void startTwoHostsAndAWorkerOfEachService() {
        session.store().setLeasesExpire(true);
        session.addWorker("former", 4_000);
        session.addWorker("later", 4_000).setService(LATER_SERVICE);
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
        owner = session.node("h1").ownsCell() ? "h1" : "h2";
        other = owner.equals("h1") ? "h2" : "h1";
    }

    private static QueueSpec queue(String name, String prefix, String service) {
        return new QueueSpec(
                new QueueName(name), "callers.example", prefix, new ServiceName(service), 0, 3, 2, 1_000, 3_000, false);
    }

    private static CellConfiguration version(long version, QueueSpec... queues) {
        return new CellConfiguration(version, List.of(queues), 100_000);
    }

    private static CellConfiguration withService(long version, String service) {
        return version(version, queue("q", "/q/", service));
    }

    private List<CallerReply> submit(String host, String path) {
        return session.call(host, new CallerOperation.Submit(CellSession.job(1, 1_000, false)), path);
    }

    private boolean runsOn(String worker) {
        return session.worker(worker).running().stream()
                .map(TaskRef::job)
                .anyMatch(job -> job.value().equals(JOB_ID));
    }

    @Test
    void jobOfAHostWithAnOlderConfigurationIsNotLeftOnTheFormerService() {
        session.node(owner).configure(withService(2, LATER_SERVICE));
        session.worker("former").setDraining(true);
        session.advance(Duration.ofSeconds(1));
        List<CallerReply> reply = submit(other, JOB_PATH);
        session.advance(LOST_LIMIT);
        assertThat(reply).containsExactly(new CallerReply.Done());
        assertThat(runsOn("later")).isTrue();
    }

    @Test
    void jobOfAHostWithANewerConfigurationDoesNotFallBackToTheOwnersOlderOne() {
        session.worker("later").setDraining(true);
        session.advance(Duration.ofSeconds(1));
        session.node(other).configure(withService(4, LATER_SERVICE));
        submit(other, JOB_PATH);
        session.advance(Duration.ofSeconds(1));
        session.node(owner).configure(withService(3, FORMER_SERVICE));
        session.advance(LOST_LIMIT);
        assertThat(session.running(JOB_ID)).isEmpty();
        session.node(owner).configure(withService(5, FORMER_SERVICE));
        session.advance(LOST_LIMIT);
        assertThat(runsOn("former")).isTrue();
    }

    @Test
    void waitingJobsAreMovedByTheNewerConfigurationOfTheNextHostThatSubmits() {
        session.worker("former").setDraining(true);
        session.advance(Duration.ofSeconds(1));
        submit(owner, JOB_PATH);
        session.advance(Duration.ofSeconds(1));
        assertThat(session.running(JOB_ID)).isEmpty();
        session.node(other).configure(withService(2, LATER_SERVICE));
        submit(other, "/q/00000000000000bb");
        session.advance(LOST_LIMIT);
        assertThat(runsOn("later")).isTrue();
    }

    @Test
    void jobForAQueueThatANewerConfigurationHasDroppedIsRefused() {
        session.node(owner).configure(version(2, queue("q2", "/q2/", FORMER_SERVICE)));
        List<CallerReply> reply = submit(other, JOB_PATH);
        session.advance(LOST_LIMIT);
        assertThat(reply).hasSize(1).first().isInstanceOf(CallerReply.Refused.class);
        assertThat(session.running(JOB_ID)).isEmpty();
    }

    @Test
    void acceptedJobIsNotRefusedAfterItsQueueWasDropped() {
        submit(other, JOB_PATH);
        session.advance(Duration.ofSeconds(1));
        session.node(owner).configure(version(2, queue("q2", "/q2/", FORMER_SERVICE)));
        List<CallerReply> repeated = submit(other, JOB_PATH);
        session.advance(Duration.ofSeconds(1));
        assertThat(repeated).containsExactly(new CallerReply.Done());
    }

    @Test
    void jobForAPathThatANewerConfigurationGivesToAnotherQueueBelongsToThatQueue() {
        session.node(owner).configure(version(2, queue("q2", "/q/", LATER_SERVICE)));
        submit(other, JOB_PATH);
        session.advance(LOST_LIMIT);
        assertThat(runsOn("later")).isTrue();
    }

    @Test
    void jobThatWaitsForTheTakeoverUsesTheConfigurationThatArrivesMeanwhile() {
        session.worker("former").setDraining(true);
        session.killHost(owner);
        session.store().endLeases();
        session.partitions().loseRecordLists(other);
        session.advance(Duration.ofMillis(800));
        submit(other, JOB_PATH);
        session.node(other).configure(withService(2, LATER_SERVICE));
        session.partitions().answerRecordLists(other);
        session.advance(LOST_LIMIT);
        assertThat(runsOn("later")).isTrue();
    }

    /** A configuration that arrives later than the takeover would come too late for a task that is started before. */
    @Test
    void successorWithAnOlderConfigurationDoesNotStartWaitingTasksOnTheFormerService() {
        session.worker("later").setDraining(true);
        session.advance(Duration.ofSeconds(1));
        session.publish(withService(2, LATER_SERVICE));
        session.node(owner).configure(withService(2, LATER_SERVICE));
        submit(owner, JOB_PATH);
        session.advance(Duration.ofSeconds(1));
        session.killHost(owner);
        session.store().endLeases();
        session.advance(LOST_LIMIT);
        assertThat(session.node(other).ownsCell()).isTrue();
        assertThat(session.worker("former").started()).isEmpty();
        session.worker("later").setDraining(false);
        session.advance(LOST_LIMIT);
        assertThat(runsOn("later")).isTrue();
    }

    @Test
    void takeoverEndsWithoutAStoredConfiguration() {
        session.killHost(owner);
        session.store().endLeases();
        session.advance(LOST_LIMIT);
        submit(other, JOB_PATH);
        session.advance(LOST_LIMIT);
        assertThat(runsOn("former")).isTrue();
    }

    @Test
    void stepAfterOneOnTheFormerServiceRunsOnTheLaterOne() {
        JobSpec spec = new JobSpec(
                "work",
                List.of(SampleSteps.step(1, 1_000, false, List.of()), SampleSteps.step(1, 1_000, false, List.of(0))),
                0,
                0,
                0);
        session.call(other, new CallerOperation.Submit(spec), JOB_PATH);
        session.advance(Duration.ofMillis(500));
        session.node(owner).configure(withService(2, LATER_SERVICE));
        session.worker("former")
                .running()
                .forEach(task -> session.worker("former").end(task, EndKind.DONE));
        session.advance(LOST_LIMIT);
        assertThat(runsOn("later")).isTrue();
    }
}
