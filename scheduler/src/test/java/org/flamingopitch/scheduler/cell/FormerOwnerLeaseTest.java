package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.owner.CellKeys;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
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

    /** Longer than a successor waits for the leases of an owner that it knows nothing about. */
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(12);

    private static final int SEEDS = 200;

    /** Selects other seeds, such as {@code 1-400}. */
    private static final String RESTART_SEEDS_PROPERTY = "formerOwner.seeds";

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

    private static String otherThan(String host) {
        return host.equals("h1") ? "h2" : "h1";
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

    /**
     * The former owner's key ends before a host is back, so that no host has seen who it was. The former owner had held
     * the cell for longer than any lease lasts.
     */
    @Test
    void taskOfAWorkerThatIsLostBeforeAllHostsLosePowerStartsElsewhereInTime() {
        start();
        session.advance(LONGEST_WAIT);
        loseWorkerAndPower();
        session.advance(MAX_WAIT_AFTER_RESTART);
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    /** The watch is read anew while the former owner holds the key, so that it does not tell whether others followed it. */
    @Test
    void taskOfAWorkerThatIsLostWithTheOwnerAfterAReListStartsElsewhereInTime() {
        start();
        session.advance(LONGEST_WAIT);
        session.store().setUnreadablePrefix(CellKeys.OWNER_PREFIX);
        session.advance(Duration.ofMillis(500));
        session.store().setUnreadablePrefix(null);
        session.advance(Duration.ofSeconds(1));
        String killed = owner();
        session.removeWorker(workerOfTask());
        session.advance(Duration.ofMillis(500));
        session.killHost(killed);
        session.advance(RESTART_TIME);
        session.addHost(killed);
        session.advance(MAX_WAIT_AFTER_RESTART);
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    /** The owners before the last one ended a short time ago, but the last one knew that they had. */
    @Test
    void taskOfAWorkerThatIsLostBeforeHostsLosePowerTwiceStartsElsewhereInTime() {
        start();
        session.advance(LONGEST_WAIT);
        loseWorkerAndPower();
        session.advance(Duration.ofSeconds(1));
        losePower();
        session.advance(MAX_WAIT_AFTER_RESTART);
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    /**
     * An owner that cannot learn when the one before it had stopped is lost a few seconds after its election, and all
     * hosts come back. Their successor can learn when each of the two had stopped.
     */
    @Test
    void taskOfAWorkerThatIsLostWithTwoOwnersInARowStartsElsewhereInTime() {
        start();
        session.advance(LONGEST_WAIT);
        String first = owner();
        String second = otherThan(first);
        session.removeWorker(workerOfTask());
        session.advance(Duration.ofMillis(500));
        session.killHost(first);
        session.advance(Duration.ofSeconds(3));
        assertThat(session.node(second).ownsCell()).isTrue();
        session.killHost(second);
        session.advance(Duration.ofSeconds(1));
        HOSTS.forEach(session::addHost);
        session.advance(MAX_WAIT_AFTER_RESTART);
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    /**
     * The first owner is cut off from the store and goes on with the lease of a worker that no other host reaches. The
     * second one is lost shortly after its election, and all hosts but the first restart. The third one must wait for the
     * first, which is neither in the ledger entry nor in the watch, although it learns at once that the second has ended.
     */
    @ParameterizedTest
    @ValueSource(ints = {50, 100, 300, 600, 1_000, 2_000})
    void taskNeverRunsTwiceWhileTheOwnerBeforeTheLastOneMayExtendTheLease(int secondOwnerMillis) {
        start();
        session.addHost("h3");
        session.advance(LONGEST_WAIT);
        String first = session.node("h3").ownsCell() ? "h3" : owner();
        String worker = workerOfTask();
        List<String> others =
                Stream.of("h1", "h2", "h3").filter(host -> !host.equals(first)).toList();
        others.forEach(host -> session.partitions().cutFromWorker(host, worker));
        session.partitions().cutFromStore(first);
        for (int millis = 0;
                others.stream().noneMatch(host -> session.node(host).ownsCell());
                millis += 5) {
            assertThat(millis).isLessThan(5_000);
            session.advance(Duration.ofMillis(5));
        }
        session.advance(Duration.ofMillis(secondOwnerMillis));
        others.forEach(session::killHost);
        session.advance(Duration.ofMillis(50));
        others.forEach(session::addHost);
        for (int millis = 0; millis < 12_000; millis += 5) {
            session.advance(Duration.ofMillis(5));
            assertThat(session.running(JOB_ID)).doesNotHaveDuplicates();
        }
        assertThat(others).anyMatch(host -> session.node(host).ownsCell());
        assertThat(session.running(JOB_ID)).hasSize(1);
        assertThat(session.worker(worker).running()).isEmpty();
    }

    /** The leases of the former owner are over before the successor has asked the worker for what has ended there. */
    @Test
    void taskThatEndedDuringALongOutageIsNotStartedAgain() {
        session.store().setLeasesExpire(true);
        FakeWorker worker = session.addWorker("w1", 4_000);
        session.addHost("h1");
        session.advance(LONGEST_WAIT);
        session.call("h1", new CallerOperation.Submit(CellSession.job(1, 1_000, false)), "/q/" + JOB_ID);
        session.advance(Duration.ofMillis(500));
        session.store().setUnavailable(true);
        session.killHost("h1");
        worker.end(session.running(JOB_ID).get(0), EndKind.DONE);
        session.addHost("h1");
        session.advance(LONGEST_WAIT);
        session.store().setUnavailable(false);
        session.advance(LONGEST_WAIT);
        assertThat(worker.started()).hasSize(1);
        assertThat(session.running(JOB_ID)).isEmpty();
    }

    private void loseWorkerAndPower() {
        session.removeWorker(workerOfTask());
        session.advance(Duration.ofMillis(500));
        losePower();
    }

    private void losePower() {
        HOSTS.forEach(session::killHost);
        session.advance(RESTART_TIME);
        HOSTS.forEach(session::addHost);
    }

    /** The ledger would not name it, so that a successor would not wait for these leases. */
    @Test
    void ownerExtendsNoLeaseBeforeItsFirstCommit() {
        start();
        session.store().setRejectedKeys(CellKeys.LEDGER::equals);
        String former = owner();
        session.killHost(former);
        session.advance(Duration.ofSeconds(9));
        assertThat(session.node(otherThan(former)).ownsCell()).isTrue();
        assertThat(session.running(JOB_ID)).isEmpty();
    }

    /** Processes of an earlier version write no owner into the ledger; the longest wait then holds. */
    @Test
    void taskNeverRunsTwiceIfTheLedgerDoesNotNameTheLastOwner() {
        start();
        session.advance(LONGEST_WAIT);
        String former = owner();
        String successor = otherThan(former);
        session.killHost(successor);
        session.partitions().cutFromWorker(successor, workerOfTask());
        session.partitions().cutFromStore(former);
        session.store().write(CellKeys.LEDGER, "17.3");
        session.advance(RESTART_TIME);
        session.addHost(successor);
        session.advance(MAX_WAIT_AFTER_RESTART);
        assertThat(session.node(successor).ownsCell()).isTrue();
        assertThat(session.worker("w1").started().size()
                        + session.worker("w2").started().size())
                .isEqualTo(1);
        session.advance(Duration.ofSeconds(5));
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    /**
     * The owner is cut off from the store and goes on with the leases of a worker that no other host reaches, while
     * those restart, are elected and die before their first commit, and get no or late answers from the store.
     */
    @ParameterizedTest
    @MethodSource("restartSeeds")
    void taskNeverRunsTwiceWhileHostsRestartAndItsFormerOwnerLivesOn(long seed) {
        session = new CellSession(seed);
        new RestartSession(session, new SplittableRandom(seed), JOB_ID).play();
    }

    static LongStream restartSeeds() {
        String[] bounds = System.getProperty(RESTART_SEEDS_PROPERTY, "1-60").split("-");
        return LongStream.rangeClosed(Long.parseLong(bounds[0]), Long.parseLong(bounds[1]));
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
        session.partitions().cutFromWorker(otherThan(former), "w1");
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
        String successor = otherThan(former);
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
