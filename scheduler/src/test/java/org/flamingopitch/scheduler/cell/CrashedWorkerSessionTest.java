package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.IntStream;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.model.WorkerId;
import org.junit.jupiter.api.Test;

/** Tests what the owner does with the runs of a worker that stops answering, if the platform lists what it runs. */
final class CrashedWorkerSessionTest {

    private static final String JOB_ID = "00000000000000aa";

    /** The platform counts a job as lost that has had nothing at work for 3 s although a worker has capacity for it. */
    private static final Duration LOST_LIMIT = Duration.ofSeconds(3);

    /** Shorter than the rest of the lease that the worker holds when it stops answering. */
    private static final Duration WITHIN_LEASE = Duration.ofSeconds(4);

    /** Longer than the lease of a worker. */
    private static final Duration LEASE_WAIT = Duration.ofSeconds(8);

    /** The platform forbids a further start of a task after so many workers have crashed under it. */
    private static final int MAX_STARTS = 5;

    private static final int DEADLY_CELL_WORKERS = 10;

    private final CellSession session = new CellSession();

    private String worker;

    /** Starts a cell in which one of two workers runs the only task of a short job. */
    private void start() {
        session.store().setLeasesExpire(true);
        session.liveWorkers().setOffered(true);
        session.addWorker("w1", 4_000);
        session.addWorker("w2", 4_000);
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
        session.call("h1", new CallerOperation.Submit(CellSession.job(1, 1_000, false)), "/q/" + JOB_ID);
        session.advance(Duration.ofSeconds(3));
        worker = session.worker("w1").running().isEmpty() ? "w2" : "w1";
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    private FakeWorker otherWorker() {
        return session.worker(worker.equals("w1") ? "w2" : "w1");
    }

    /** Guards against the wait for the lease of a worker whose machine is gone. */
    @Test
    void jobOfAWorkerThatIsGoneIsNotIdleUntilItsLeaseEnds() {
        start();
        session.removeWorker(worker);
        session.advance(LOST_LIMIT);
        assertThat(otherWorker().running()).hasSize(1);
    }

    /** Guards against the same wait if calls to the worker are not refused but stay unanswered. */
    @Test
    void jobOfAWorkerWhoseMachineHasLostPowerIsNotIdleUntilItsLeaseEnds() {
        start();
        session.worker(worker).setUnresponsive(true);
        session.worker(worker).setListed(false);
        session.liveWorkers().setDistortion(live -> without(live, new WorkerId(worker)));
        session.advance(LOST_LIMIT);
        assertThat(otherWorker().running()).hasSize(1);
    }

    /** Guards against ending the runs of a worker that is cut off and runs on. */
    @Test
    void runsOfASilentWorkerThatThePlatformRunsLastUntilItsLeaseEnds() {
        start();
        session.worker(worker).setUnresponsive(true);
        session.worker(worker).setListed(false);
        session.advance(WITHIN_LEASE);
        assertThat(session.liveWorkers().callMillis()).isNotEmpty();
        assertThat(otherWorker().started()).isEmpty();
        session.advance(LEASE_WAIT);
        assertThat(otherWorker().running()).hasSize(1);
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    /** Guards against a proof from listings before and after an answer of the worker. */
    @Test
    void answerBetweenTwoListingsRefutesTheFirst() {
        start();
        WorkerId id = new WorkerId(worker);
        session.liveWorkers().setDistortion(live -> without(live, id));
        session.worker(worker).setUnresponsive(true);
        advanceUntilCalls(1);
        session.worker(worker).setUnresponsive(false);
        session.advance(Duration.ofMillis(1_500));
        session.worker(worker).setUnresponsive(true);
        advanceUntilCalls(2);
        session.advance(Duration.ofMillis(500));
        assertThat(session.liveWorkers().callMillis()).hasSize(2);
        assertThat(otherWorker().started()).isEmpty();
    }

    /** Guards against calls for a worker that leaves a single call unanswered, since each one is charged. */
    @Test
    void nothingIsAskedForAWorkerThatIsSilentForAMoment() {
        start();
        session.worker(worker).setUnresponsive(true);
        session.advance(Duration.ofMillis(900));
        session.worker(worker).setUnresponsive(false);
        session.advance(Duration.ofSeconds(5));
        assertThat(session.liveWorkers().callMillis()).isEmpty();
    }

    /** Guards against further starts of a task whose workers are gone for good, so that none restarts under its address. */
    @Test
    void taskUnderWhichThreeWorkersAreLostForGoodIsGivenUp() {
        startDeadlyTask(false);
        session.advance(Duration.ofSeconds(30));
        assertThat(crashedWorkers()).isEqualTo(3);
    }

    /** Guards against the same if the worker is lost before it answers the start. */
    @Test
    void taskThatCrashesItsWorkersBeforeTheyAnswerItsStartIsNotStartedASixthTime() {
        startDeadlyTask(true);
        session.advance(Duration.ofSeconds(70));
        assertThat(crashedWorkers()).isLessThanOrEqualTo(MAX_STARTS);
    }

    /** Guards against further starts while the listing cannot be read, so that leases end before the proof. */
    @Test
    void taskWhoseWorkersLapseBeforeTheyAreKnownToBeGoneIsNotStartedASixthTime() {
        startDeadlyTask(false);
        session.liveWorkers().setFailing(true);
        session.advance(Duration.ofSeconds(70));
        assertThat(crashedWorkers()).isLessThanOrEqualTo(MAX_STARTS);
    }

    /** Guards against further starts if the owner is lost with each worker, so that no owner has known it. */
    @Test
    void taskWhoseWorkersAreLostWithTheirOwnersIsNotStartedASixthTime() {
        startDeadlyTask(false);
        for (int host = 2; host < 12; host++) {
            long before = crashedWorkers();
            for (int i = 0; i < 150 && crashedWorkers() == before; i++) {
                session.advance(Duration.ofMillis(100));
            }
            session.killHost("h" + (host - 1));
            session.addHost("h" + host);
        }
        assertThat(crashedWorkers()).isLessThanOrEqualTo(MAX_STARTS);
    }

    private void startDeadlyTask(boolean crashesBeforeItAnswers) {
        session.store().setLeasesExpire(true);
        session.liveWorkers().setOffered(true);
        for (int i = 0; i < DEADLY_CELL_WORKERS; i++) {
            FakeWorker added = session.addWorker("w" + i, 4_000);
            added.setDeadlyTasks(task -> true);
            added.setCrashesAtOnce(crashesBeforeItAnswers);
        }
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
        session.call("h1", new CallerOperation.Submit(CellSession.job(1, 1_000, false)), "/q/" + JOB_ID);
        session.advance(Duration.ofMillis(500));
    }

    private long crashedWorkers() {
        return IntStream.range(0, DEADLY_CELL_WORKERS)
                .filter(i -> session.worker("w" + i).crashed())
                .count();
    }

    private void advanceUntilCalls(int count) {
        for (int i = 0; i < 400 && session.liveWorkers().callMillis().size() < count; i++) {
            session.advance(Duration.ofMillis(10));
        }
        assertThat(session.liveWorkers().callMillis()).hasSize(count);
        session.advance(CellSession.CALL_LATENCY.multipliedBy(2));
    }

    private static Set<WorkerId> without(Set<WorkerId> workers, WorkerId id) {
        Set<WorkerId> others = new HashSet<>(workers);
        others.remove(id);
        return others;
    }
}
