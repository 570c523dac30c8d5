package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests when a successor treats tasks as ended whose workers it cannot reach. */
final class FormerOwnerLeaseTest {

    private static final String JOB_ID = "00000000000000aa";

    /** The time that a process takes to start after its host was killed. */
    private static final Duration RESTART_TIME = Duration.ofSeconds(3);

    /**
     * The platform counts a long-running task as lost 3 s after 4 s without a disruption.
     */
    private static final Duration MAX_WAIT_AFTER_RESTART = Duration.ofSeconds(4 + 3);

    /**
     * The platform counts a long-running task as lost 9 s after its last run has ended, and the worker is lost 0.5 s
     * before the owner.
     */
    private static final Duration MAX_WAIT_AFTER_LOSS_OF_HOST = Duration.ofMillis(8_500);

    private static final int SEEDS = 200;

    private static final List<String> HOSTS = List.of("h1", "h2");

    private CellSession session = new CellSession();

    private void start() {
        session.store().setLeasesExpire(true);
        session.addWorker("w1", 4_000);
        session.addWorker("w2", 4_000);
        HOSTS.forEach(session::addHost);
        session.advance(Duration.ofSeconds(3));
        CallerOperation submission = new CallerOperation.Submit(CellSession.job(1, 1_000, true));
        session.call("h1", submission, "/q/" + JOB_ID);
        session.advance(Duration.ofMillis(500));
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    private String owner() {
        return session.node("h1").ownsCell() ? "h1" : "h2";
    }

    private String workerOfTask() {
        return session.worker("w1").running().isEmpty() ? "w2" : "w1";
    }

    @Test
    void taskOfAWorkerThatIsLostTogetherWithTheOwnerStartsElsewhereInTime() {
        start();
        String killed = owner();
        session.removeWorker(workerOfTask());
        session.advance(Duration.ofMillis(500));
        session.killHost(killed);
        session.advance(RESTART_TIME);
        session.addHost(killed);
        session.advance(MAX_WAIT_AFTER_RESTART);
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 250, 500, 750, 1_000})
    void taskOfAWorkerThatIsLostTogetherWithTheOwnersHostStartsElsewhereInTime(int extraMillis) {
        start();
        session.advance(Duration.ofMillis(extraMillis));
        session.removeWorker(workerOfTask());
        session.advance(Duration.ofMillis(500));
        session.killHost(owner());
        session.advance(MAX_WAIT_AFTER_LOSS_OF_HOST);
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    @Test
    void taskStartsElsewhereInTimeThoughTheStoreForgotItsHistoryBefore() {
        start();
        session.store().dropHistory();
        session.store().setUnreadablePrefix("flamingopitch/owner/");
        session.advance(Duration.ofMillis(600));
        session.store().setUnreadablePrefix(null);
        session.advance(Duration.ofSeconds(4));
        session.removeWorker(workerOfTask());
        session.advance(Duration.ofMillis(500));
        session.killHost(owner());
        session.advance(MAX_WAIT_AFTER_LOSS_OF_HOST);
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 300, 600, 900, 1_200, 1_500})
    void taskRunsOnThroughAnOutageOfTheStore(int extraMillis) {
        start();
        session.advance(Duration.ofMillis(extraMillis));
        FakeWorker worker = session.worker(workerOfTask());
        session.store().setUnavailable(true);
        for (int millis = 0; millis < 5_000; millis += 5) {
            session.advance(Duration.ofMillis(5));
            assertThat(worker.running()).as("after %d ms", millis).hasSize(1);
        }
        session.store().setUnavailable(false);
        for (int millis = 0; millis < 10_000; millis += 5) {
            session.advance(Duration.ofMillis(5));
            assertThat(worker.running()).as("%d ms after the outage", millis).hasSize(1);
        }
        assertThat(worker.started()).hasSize(1);
    }

    @Test
    void taskNeverRunsTwiceIfClocksRunApartAndNotesAreExecutedLateOrNotAnswered() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            session = new CellSession(seed);
            start();
            SplittableRandom random = new SplittableRandom(seed);
            session.worker("w1").setClockRate(random.nextBoolean() ? 0.98 : 1);
            session.worker("w2").setClockRate(random.nextBoolean() ? 0.98 : 1);
            HOSTS.forEach(host -> session.setClockRate(host, random.nextBoolean() ? 0.99 : 1.01));
            disturbStore(random);
            runPartition(random, "seed " + seed);
        }
    }

    /** Lets the last calls to the store before a partition be executed late, go unanswered, or take long. */
    private void disturbStore(SplittableRandom random) {
        Duration time = Duration.ofMillis(random.nextInt(1_500));
        int kind = random.nextInt(3);
        if (kind == 0) {
            session.varyStoreLatency(Duration.ofMillis(600));
        } else if (kind == 1) {
            session.store().setAnswersLost(true);
            session.advance(time);
            session.store().setAnswersLost(false);
        } else {
            session.setStoreConnectionsReset(true);
            session.advance(time);
            session.setStoreConnectionsReset(false);
        }
    }

    @Test
    void taskNeverRunsTwiceWhileItsFormerOwnerMayExtendTheLease() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            session = new CellSession(seed);
            start();
            runPartition(new SplittableRandom(seed), "seed " + seed);
        }
    }

    @ParameterizedTest
    @CsvSource({"3,1,1", "3,3000,1", "180,1,0.98", "60,2000,0.98", "180,3000,0.98"})
    void taskNeverRunsTwiceAfterAHandoverIfItsStartIsExecutedLate(int idleSeconds, long delayMillis, double clockRate) {
        session.store().setLeasesExpire(true);
        FakeWorker worker = session.addWorker("w1", 4_000);
        worker.setClockRate(clockRate);
        HOSTS.forEach(session::addHost);
        session.advance(Duration.ofSeconds(idleSeconds));
        String former = owner();
        session.partitions().cutFromWorker(former.equals("h1") ? "h2" : "h1", "w1");
        worker.setStartDelayMillis(delayMillis);
        CallerOperation submission = new CallerOperation.Submit(CellSession.job(1, 1_000, true));
        session.call(former, submission, "/q/" + JOB_ID);
        session.advance(Duration.ofMillis(20));
        session.node(former).drain();
        session.advance(Duration.ofMillis(500));
        session.addWorker("w2", 4_000);
        for (int millis = 0; millis < 15_000; millis += 5) {
            session.advance(Duration.ofMillis(5));
            assertThat(session.running(JOB_ID)).doesNotHaveDuplicates();
        }
        assertThat(session.worker("w2").started()).hasSize(1);
    }

    /** Cuts the owner off from the store and its successor off from the worker that runs the task. */
    private void runPartition(SplittableRandom random, String description) {
        String former = owner();
        String successor = former.equals("h1") ? "h2" : "h1";
        String worker = workerOfTask();
        session.partitions().cutFromWorker(successor, worker);
        session.partitions().cutFromStore(former);
        int healAfterMillis = random.nextInt(12_000);
        int killAfterMillis = random.nextInt(24_000);
        boolean killed = false;
        for (int millis = 0; millis < 20_000; millis += 5) {
            if (!killed && millis >= healAfterMillis) {
                session.partitions().reconnectToStore(former);
            }
            if (!killed && millis >= killAfterMillis) {
                killed = true;
                session.partitions().reconnectToStore(former);
                session.killHost(former);
            }
            if (killed && millis == killAfterMillis / 5 * 5 + 1_000) {
                session.addHost(former);
            }
            session.advance(Duration.ofMillis(5));
            assertThat(session.running(JOB_ID)).as(description).doesNotHaveDuplicates();
        }
    }
}
