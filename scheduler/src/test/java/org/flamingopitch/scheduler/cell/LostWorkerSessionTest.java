package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.model.WorkerId;
import org.junit.jupiter.api.Test;

/** Tests what a successor does with the runs of workers that have never answered it, if the platform lists what it runs. */
final class LostWorkerSessionTest {

    private static final String JOB_ID = "00000000000000aa";

    /** The platform counts a long-running task as lost 3 s after 4 s without a disruption. */
    private static final Duration LOST_LIMIT = Duration.ofSeconds(4 + 3);

    /** Longer than the takeover of the cell and the leases of a former owner together. */
    private static final Duration LEASE_WAIT = Duration.ofSeconds(14);

    private static final int SEEDS = 100;

    private CellSession session = new CellSession();

    private String former;

    private String worker;

    /** Starts a cell with one long-running task, and takes its owner and the worker of the task as the ones to be lost. */
    private void start() {
        session.store().setLeasesExpire(true);
        session.liveWorkers().setOffered(true);
        session.addWorker("w1", 4_000);
        session.addWorker("w2", 4_000);
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
        session.call("h1", new CallerOperation.Submit(CellSession.job(1, 1_000, true)), "/q/" + JOB_ID);
        session.advance(Duration.ofMillis(500));
        former = session.node("h1").ownsCell() ? "h1" : "h2";
        worker = session.worker("w1").running().isEmpty() ? "w2" : "w1";
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    private String successor() {
        return former.equals("h1") ? "h2" : "h1";
    }

    private String otherWorker() {
        return worker.equals("w1") ? "w2" : "w1";
    }

    private void advanceWithoutSecondRun(Duration time) {
        for (long millis = 0; millis < time.toMillis(); millis += 5) {
            session.advance(Duration.ofMillis(5));
            assertThat(session.running(JOB_ID)).doesNotHaveDuplicates();
        }
    }

    /** Guards against the wait for the leases of a former owner that is as dead as the worker. */
    @Test
    void taskOfAWorkerThatIsLostForGoodWithTheOwnerStartsElsewhereInTime() {
        start();
        session.removeWorker(worker);
        session.advance(Duration.ofMillis(500));
        session.killHost(former);
        session.advance(LOST_LIMIT);
        assertThat(session.worker(otherWorker()).running()).hasSize(1);
        assertThat(session.liveWorkers().callMillis()).hasSize(2);
    }

    /** Guards against two runs of a task whose worker is cut off from the successor while the former owner lives on. */
    @Test
    void taskOfARunningWorkerNeverRunsTwiceWhileItsFormerOwnerMayExtendTheLease() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            session = new CellSession(seed);
            SplittableRandom random = new SplittableRandom(seed);
            start();
            session.partitions().cutFromWorker(successor(), worker);
            session.partitions().cutFromStore(former);
            session.worker(worker).setListed(random.nextBoolean());
            int cutMillis = random.nextInt(1_000, 12_000);
            advanceWithoutSecondRun(Duration.ofMillis(cutMillis));
            session.partitions().reconnectToStore(former);
            advanceWithoutSecondRun(Duration.ofSeconds(3));
        }
    }

    /** Guards against ending the runs of a worker that is cut off from all hosts and runs on until its lease ends. */
    @Test
    void runsOfARunningWorkerLastAsLongAsTheLeasesOfTheFormerOwner() {
        start();
        session.worker(worker).setUnresponsive(true);
        session.worker(worker).setListed(false);
        session.killHost(former);
        advanceWithoutSecondRun(Duration.ofSeconds(10));
        assertThat(session.worker(otherWorker()).started()).isEmpty();
        assertThat(session.liveWorkers().callMillis()).hasSizeGreaterThan(2);
        advanceWithoutSecondRun(LEASE_WAIT.minusSeconds(10));
        assertThat(session.worker(otherWorker()).running()).hasSize(1);
    }

    /** Guards against trust in one listing: its pages are no snapshot, and a young worker may not be listed yet. */
    @Test
    void oneListingWithoutARunningWorkerProvesNothing() {
        start();
        WorkerId id = new WorkerId(worker);
        session.liveWorkers().setDistortion(live -> {
            boolean hidden = session.liveWorkers().callMillis().size() % 2 == 1;
            return hidden ? without(live, id) : live;
        });
        session.worker(worker).setUnresponsive(true);
        session.killHost(former);
        advanceWithoutSecondRun(Duration.ofSeconds(10));
        assertThat(session.worker(otherWorker()).started()).isEmpty();
    }

    /** Guards against a listing that covers a part of the machines only. */
    @Test
    void listingWithoutAWorkerThatAnswersProvesNothing() {
        start();
        session.addWorker("w3", 4_000);
        session.liveWorkers().setDistortion(live -> Set.of(new WorkerId("w3")));
        session.worker(worker).setUnresponsive(true);
        session.killHost(former);
        advanceWithoutSecondRun(Duration.ofSeconds(10));
        assertThat(session.running(JOB_ID)).hasSizeLessThanOrEqualTo(1);
        assertThat(session.worker(otherWorker()).started()).isEmpty();
        assertThat(session.worker("w3").started()).isEmpty();
    }

    private static Set<WorkerId> without(Set<WorkerId> workers, WorkerId id) {
        Set<WorkerId> others = new HashSet<>(workers);
        others.remove(id);
        return others;
    }

    /** Guards against taking a failed call for a listing without workers. */
    @Test
    void failedListingsProveNothing() {
        start();
        session.liveWorkers().setFailing(true);
        session.removeWorker(worker);
        session.killHost(former);
        session.advance(Duration.ofSeconds(10));
        assertThat(session.worker(otherWorker()).started()).isEmpty();
        session.advance(LEASE_WAIT.minusSeconds(10));
        assertThat(session.worker(otherWorker()).running()).hasSize(1);
    }

    @Test
    void taskStartsElsewhereOnceFailedListingsAreOver() {
        start();
        session.liveWorkers().setFailing(true);
        session.removeWorker(worker);
        session.killHost(former);
        session.advance(Duration.ofSeconds(5));
        session.liveWorkers().setFailing(false);
        session.advance(Duration.ofMillis(2_200));
        assertThat(session.worker(otherWorker()).running()).hasSize(1);
    }

    /** Guards against the rejection of each listing that takes longer than a doubt about its completeness may last. */
    @Test
    void slowListingsProveThatAWorkerIsGone() {
        start();
        session.liveWorkers().setLatency(Duration.ofMillis(2_600));
        session.removeWorker(worker);
        session.killHost(former);
        session.advance(Duration.ofSeconds(10));
        assertThat(session.worker(otherWorker()).running()).hasSize(1);
    }

    /** Guards against calls on a calm day, since each one is charged. */
    @Test
    void nothingIsAskedOnACalmDay() {
        start();
        session.node(former).drain();
        session.advance(Duration.ofSeconds(20));
        assertThat(session.node(successor()).ownsCell()).isTrue();
        session.worker(otherWorker()).crash();
        session.advance(Duration.ofSeconds(20));
        assertThat(session.liveWorkers().callMillis()).isEmpty();
    }

    /** Guards against calls for workers that are gone but hold no runs, and against calls in quick succession. */
    @Test
    void listingsAreRequestedOnceASecondWhileRunsAreInDoubt() {
        start();
        session.worker(worker).setUnresponsive(true);
        session.killHost(former);
        session.advance(Duration.ofSeconds(30));
        List<Long> calls = session.liveWorkers().callMillis();
        assertThat(calls).hasSizeBetween(5, 11);
        for (int i = 1; i < calls.size(); i++) {
            assertThat(calls.get(i) - calls.get(i - 1)).isGreaterThanOrEqualTo(1_000);
        }
    }
}
