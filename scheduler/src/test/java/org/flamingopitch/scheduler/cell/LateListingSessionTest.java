package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.model.WorkerId;
import org.junit.jupiter.api.Test;

/** Tests which listings of the platform prove that a silent worker has ended while other workers are replaced. */
final class LateListingSessionTest {

    private static final String JOB_ID = "00000000000000aa";

    /** The platform counts a long-running task as lost 3 s after 4 s without a disruption. */
    private static final Duration LOST_LIMIT = Duration.ofSeconds(4 + 3);

    /** A worker that was added later runs for this long. */
    private static final long LIFE_MILLIS = 2_500;

    private final CellSession session = new CellSession();

    private final Deque<FakeWorker> added = new ArrayDeque<>();

    private int addedWorkers;

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

    /** Adds a worker at the given intervals, and removes each one after a time. */
    private void replaceWorkers(Duration time, long intervalMillis, long lifeMillis) {
        for (long millis = 0; millis < time.toMillis(); millis += 20) {
            if (millis % intervalMillis == 0) {
                added.add(session.addWorker("y" + addedWorkers, 4_000));
                addedWorkers++;
            }
            if (added.size() > lifeMillis / intervalMillis) {
                session.removeWorker(added.remove().name());
            }
            session.advance(Duration.ofMillis(20));
            assertThat(session.running(JOB_ID)).doesNotHaveDuplicates();
        }
    }

    private void advanceWithoutSecondRun(Duration time) {
        for (long millis = 0; millis < time.toMillis(); millis += 5) {
            session.advance(Duration.ofMillis(5));
            assertThat(session.running(JOB_ID)).doesNotHaveDuplicates();
        }
    }

    private static Set<WorkerId> without(Set<WorkerId> workers, Predicate<String> absent) {
        Set<WorkerId> others = new HashSet<>(workers);
        others.removeIf(each -> absent.test(each.value()));
        return others;
    }

    /** Guards against a wait of 10.4 s because each listing lacks a worker that has just begun to answer. */
    @Test
    void taskOfALostWorkerStartsElsewhereInTimeWhileOthersAreReplacedAllTheTime() {
        start();
        session.liveWorkers().setLag(Duration.ofMillis(800));
        replaceWorkers(Duration.ofSeconds(3), 100, LIFE_MILLIS);
        session.removeWorker(worker);
        session.killHost(former);
        replaceWorkers(LOST_LIMIT, 100, LIFE_MILLIS);
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    /** Guards against a wait of 10.4 s because each listing lacks a worker that has ended since it last answered. */
    @Test
    void taskOfALostWorkerStartsElsewhereInTimeWhileOthersEndAllTheTime() {
        start();
        replaceWorkers(Duration.ofSeconds(3), 100, LIFE_MILLIS);
        session.removeWorker(worker);
        session.killHost(former);
        replaceWorkers(LOST_LIMIT, 100, LIFE_MILLIS);
        assertThat(session.running(JOB_ID)).hasSize(1);
    }

    /** Guards against taking a partial listing for a late one: the page that is missing has only silent and young workers. */
    @Test
    void pageThatTwoListingsLackProvesNothingThoughTheWorkersThatAnswerOnItAreYoung() {
        start();
        session.liveWorkers().setDistortion(live -> without(live, id -> id.equals(worker) || id.startsWith("y")));
        session.worker(worker).setUnresponsive(true);
        session.killHost(former);
        replaceWorkers(Duration.ofSeconds(10), 100, 800);
        assertThat(session.worker(otherWorker()).started()).isEmpty();
        assertThat(added).allSatisfy(each -> assertThat(each.started()).isEmpty());
    }

    /** Guards against two partial listings in a row that lack the same page, which has a worker that answers. */
    @Test
    void pageThatTwoListingsLackProvesNothingWhileAWorkerOnItAnswers() {
        start();
        session.addWorker("w3", 4_000);
        session.addWorker("w4", 4_000);
        session.liveWorkers().setLag(Duration.ofMillis(800));
        session.liveWorkers().setDistortion(live -> without(live, id -> id.equals(worker) || id.equals("w3")));
        session.worker(worker).setUnresponsive(true);
        session.killHost(former);
        replaceWorkers(Duration.ofSeconds(10), 500, LIFE_MILLIS);
        assertThat(session.worker(otherWorker()).started()).isEmpty();
    }

    /** Guards against forgetting that a partial listing between two others has the worker. */
    @Test
    void workerThatAPartialListingHasIsNotEndedByTheListingsAroundIt() {
        start();
        session.liveWorkers().setDistortion(live -> {
            boolean partial = session.liveWorkers().callMillis().size() % 2 == 0;
            return without(live, id -> id.equals(partial ? otherWorker() : worker));
        });
        session.addWorker("w3", 4_000);
        session.worker(worker).setUnresponsive(true);
        session.killHost(former);
        advanceWithoutSecondRun(Duration.ofSeconds(10));
        assertThat(session.worker(otherWorker()).started()).isEmpty();
        assertThat(session.worker("w3").started()).isEmpty();
    }

    /** Guards against a listing that nothing confirms, as all workers but a young one are silent. */
    @Test
    void listingWithoutAWorkerThatAnswersProvesNothing() {
        start();
        session.liveWorkers().setDistortion(live -> {
            int calls = session.liveWorkers().callMillis().size();
            Set<WorkerId> listed = without(live, id -> calls <= 2 && !id.equals("w3") || calls == 1);
            listed.add(new WorkerId("elsewhere"));
            return listed;
        });
        session.worker("w1").setUnresponsive(true);
        session.worker("w2").setUnresponsive(true);
        session.killHost(former);
        while (session.liveWorkers().callMillis().isEmpty()) {
            if (session.worker("w3") == null && session.node(successor()).ownsCell()) {
                advanceWithoutSecondRun(Duration.ofMillis(300));
                session.addWorker("w3", 4_000);
            }
            advanceWithoutSecondRun(Duration.ofMillis(5));
        }
        advanceWithoutSecondRun(Duration.ofSeconds(4));
        assertThat(session.worker("w3").started()).isEmpty();
    }
}
