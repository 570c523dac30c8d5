package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests copies of stragglers under each failure halfway. Beside the job that permits copies, a job of the same tasks
 * that does not permit them is played in each test, and no task of it may ever run in two places at the same time.
 */
final class SpeculationTest {

    private static final String COPIED = "00000000000000aa";

    private static final String SINGLE = "00000000000000bb";

    private static final TaskRef STRAGGLER = TaskRef.parse(COPIED + ".0.0.0");

    private static final TaskRef SINGLE_STRAGGLER = TaskRef.parse(SINGLE + ".0.0.0");

    private static final List<String> WORKERS = List.of("w1", "w2", "w3");

    private final CellSession session = new CellSession();

    /** The durations of single runs, by task and run number; all others take a second. */
    private final Map<String, Long> durations = new HashMap<>();

    @BeforeEach
    void learnDurationsAndSubmit() {
        for (String name : WORKERS) {
            session.addWorker(name, 64_000)
                    .setDurations((task, run) -> durations.getOrDefault(task + "/" + run, 1_000L));
        }
        session.addHost("h1");
        session.addHost("h2");
        advance(Duration.ofSeconds(3));
        submit("00000000000000c1", step(60, false, false));
        advance(Duration.ofSeconds(3));
        durations.put(STRAGGLER + "/1", 20_000L);
        durations.put(STRAGGLER + "/2", 10_000L);
        durations.put(SINGLE_STRAGGLER + "/1", 20_000L);
        submit(COPIED, step(10, true, false));
        submit(SINGLE, step(10, false, false));
    }

    private static StepSpec step(int count, boolean speculative, boolean longRunning) {
        return new StepSpecBuilder()
                .count(count)
                .demand(new Resources(1_000, 100, 0))
                .estimateMillis(1_000)
                .speculative(speculative)
                .lasting(longRunning)
                .build();
    }

    private void submit(String job, StepSpec step) {
        session.call(host(), new CallerOperation.Submit(new JobSpec("work", List.of(step), 0, 0, 0)), "/q/" + job);
    }

    private String host() {
        return session.store().value("flamingopitch/owner/cell") == null || owner().equals("h1") ? "h1" : "h2";
    }

    private String owner() {
        return session.store().value("flamingopitch/owner/cell").contains("h1") ? "h1" : "h2";
    }

    /** Advances the clock, and checks all the time that no task runs in more places than it may. */
    private void advance(Duration time) {
        for (long passed = 0; passed < time.toMillis(); passed += 5) {
            session.advance(Duration.ofMillis(5));
            assertThat(session.running(SINGLE)).doesNotHaveDuplicates();
            assertThat(places(STRAGGLER)).hasSizeLessThanOrEqualTo(2);
        }
    }

    private void advanceUntil(BooleanSupplier condition) {
        for (int i = 0; i < 1_000 && !condition.getAsBoolean(); i++) {
            advance(Duration.ofMillis(5));
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }

    private List<FakeWorker> places(TaskRef task) {
        return WORKERS.stream()
                .map(session::worker)
                .filter(worker -> worker.running().contains(task))
                .toList();
    }

    private Stream<String> starts(TaskRef task) {
        return WORKERS.stream()
                .flatMap(name -> session.worker(name).started().stream())
                .filter(run -> run.startsWith(task + "/"));
    }

    private FakeWorker placeOf(int run) {
        return WORKERS.stream()
                .map(session::worker)
                .filter(worker -> worker.started().contains(STRAGGLER + "/" + run))
                .findFirst()
                .orElseThrow();
    }

    private boolean done(String job) {
        String progress = session.store().value("flamingopitch/progress/" + job);
        return progress != null && progress.contains("\"end\":\"DONE\"");
    }

    private void startCopy() {
        advanceUntil(() -> places(STRAGGLER).size() == 2);
    }

    private void replaceOwner() {
        session.killHost(owner());
        session.store().endLeases();
        advance(Duration.ofSeconds(2));
    }

    @Test
    void copyWhoseStartIsDelayedOnItsWayIsNotExecutedAfterTheTaskIsDone() {
        durations.put(STRAGGLER + "/1", 60_000L);
        advanceUntil(() -> places(STRAGGLER).size() == 1);
        FakeWorker first = placeOf(1);
        // Shorter than the time-out of the start, after which a stop would come too late.
        WORKERS.forEach(name -> session.worker(name).setStartDelayMillis(500));
        advanceUntil(() -> copyOrdered());
        first.end(STRAGGLER, EndKind.DONE);
        advance(Duration.ofMillis(3_000));
        assertThat(starts(STRAGGLER)).containsExactly(STRAGGLER + "/1");
        assertThat(done(COPIED)).isTrue();
    }

    private boolean copyOrdered() {
        return WORKERS.stream().anyMatch(name -> session.worker(name).startDelayed(STRAGGLER));
    }

    @Test
    void copyThatIsFasterCompletesTheTaskAndTheOtherRunIsStopped() {
        durations.put(STRAGGLER + "/2", 1_000L);
        advance(Duration.ofMillis(3_000));
        assertThat(done(COPIED)).isTrue();
        assertThat(places(STRAGGLER)).isEmpty();
        assertThat(starts(STRAGGLER)).hasSize(2);
        assertThat(placeOf(1)).isNotEqualTo(placeOf(2));
        assertThat(done(SINGLE)).isFalse();
        advance(Duration.ofSeconds(2));
        assertThat(session.worker("w1").ended()).isEmpty();
        assertThat(session.worker("w2").ended()).isEmpty();
    }

    @Test
    void firstRunThatIsFasterCompletesTheTaskAndTheCopyIsStopped() {
        durations.put(STRAGGLER + "/1", 2_500L);
        startCopy();
        advance(Duration.ofMillis(1_500));
        assertThat(done(COPIED)).isTrue();
        assertThat(places(STRAGGLER)).isEmpty();
        assertThat(starts(STRAGGLER)).hasSize(2);
    }

    @Test
    void taskWithoutTheFlagHasOneRunHoweverLongItTakes() {
        advance(Duration.ofSeconds(12));
        assertThat(starts(SINGLE_STRAGGLER)).hasSize(1);
        assertThat(places(SINGLE_STRAGGLER)).hasSize(1);
    }

    @Test
    void longRunningTaskWithTheFlagHasOneRun() {
        String job = "00000000000000dd";
        submit(job, step(5, true, true));
        advance(Duration.ofMillis(800));
        assertThat(session.running(job)).hasSize(5);
        for (int i = 0; i < 1_000; i++) {
            session.advance(Duration.ofMillis(5));
            assertThat(session.running(job)).doesNotHaveDuplicates();
        }
    }

    /** The copy's record is durable, but its owner dies before it has sent the start. */
    @Test
    void ownerKilledBetweenTheTwoStartsLeavesOneRun() {
        advance(Duration.ofMillis(1_250));
        session.store().setAnswersLost(true);
        advanceUntil(
                () -> session.store().value("flamingopitch/progress/" + COPIED).contains("earlier"));
        session.killHost(owner());
        session.store().setAnswersLost(false);
        session.store().endLeases();
        durations.put(STRAGGLER + "/1", 6_000L);
        advance(Duration.ofSeconds(2));
        assertThat(starts(STRAGGLER)).doesNotContain(STRAGGLER + "/2");
        assertThat(placeOf(1).running()).contains(STRAGGLER);
        advance(Duration.ofSeconds(4));
        assertThat(done(COPIED)).isTrue();
        assertThat(places(STRAGGLER)).isEmpty();
    }

    @Test
    void successorAdoptsBothRunsAndStopsTheOneThatIsNotFirst() {
        startCopy();
        replaceOwner();
        assertThat(places(STRAGGLER)).hasSize(2);
        advance(Duration.ofSeconds(3));
        assertThat(places(STRAGGLER)).hasSize(2);
        assertThat(starts(STRAGGLER)).hasSize(2);
        placeOf(2).end(STRAGGLER, EndKind.DONE);
        advance(Duration.ofMillis(600));
        assertThat(done(COPIED)).isTrue();
        assertThat(places(STRAGGLER)).isEmpty();
        assertThat(starts(SINGLE_STRAGGLER)).hasSize(1);
    }

    @Test
    void ownerKilledAfterTheFirstEndStopsTheOtherRunAndStartsNone() {
        startCopy();
        FakeWorker loser = placeOf(1);
        loser.setStopsLost(true);
        placeOf(2).end(STRAGGLER, EndKind.DONE);
        advanceUntil(() -> done(COPIED));
        session.killHost(owner());
        session.store().endLeases();
        loser.setStopsLost(false);
        advance(Duration.ofSeconds(3));
        assertThat(places(STRAGGLER)).isEmpty();
        assertThat(starts(STRAGGLER)).hasSize(2);
    }

    @Test
    void copyWhoseStartIsExecutedLateDoesNotRun() {
        advance(Duration.ofMillis(900));
        WORKERS.forEach(name -> session.worker(name).setStartDelayMillis(2_500));
        durations.put(STRAGGLER + "/1", 3_500L);
        advance(Duration.ofMillis(3_000));
        WORKERS.forEach(name -> session.worker(name).setStartDelayMillis(0));
        advance(Duration.ofSeconds(5));
        assertThat(done(COPIED)).isTrue();
        assertThat(places(STRAGGLER)).isEmpty();
        assertThat(starts(STRAGGLER)).doesNotContain(STRAGGLER + "/2");
    }

    @Test
    void winnerWhoseReportIsLostIsRecordedOnce() {
        startCopy();
        FakeWorker winner = placeOf(2);
        winner.end(STRAGGLER, EndKind.DONE);
        winner.setUnresponsive(true);
        advance(Duration.ofSeconds(3));
        assertThat(done(COPIED)).isFalse();
        assertThat(placeOf(1).running()).contains(STRAGGLER);
        winner.setUnresponsive(false);
        advance(Duration.ofSeconds(2));
        assertThat(done(COPIED)).isTrue();
        assertThat(places(STRAGGLER)).isEmpty();
        assertThat(starts(STRAGGLER)).hasSize(2);
    }

    @Test
    void bothRunsThatEndAtOnceAreRecordedOnce() {
        startCopy();
        placeOf(1).end(STRAGGLER, EndKind.DONE);
        placeOf(2).end(STRAGGLER, EndKind.DONE);
        advance(Duration.ofSeconds(3));
        assertThat(done(COPIED)).isTrue();
        assertThat(starts(STRAGGLER)).hasSize(2);
        assertThat(WORKERS).allMatch(name -> session.worker(name).ended().isEmpty());
    }

    @Test
    void unansweredStopOfTheLosingRunDelaysNoAnswerAndEndsByTheLease() {
        startCopy();
        FakeWorker loser = placeOf(1);
        loser.setStopsLost(true);
        durations.put(STRAGGLER + "/1", 60_000L);
        placeOf(2).end(STRAGGLER, EndKind.DONE);
        advance(Duration.ofMillis(500));
        assertThat(done(COPIED)).isTrue();
        assertThat(loser.running()).contains(STRAGGLER);
        advance(Duration.ofSeconds(12));
        assertThat(places(STRAGGLER)).isEmpty();
        assertThat(starts(STRAGGLER)).hasSize(2);
    }

    @Test
    void taskGoesOnInTheCopyWhenTheWorkerOfTheFirstRunIsLost() {
        durations.put(STRAGGLER + "/2", 9_000L);
        startCopy();
        placeOf(1).crash();
        advance(Duration.ofSeconds(5));
        assertThat(placeOf(2).running()).contains(STRAGGLER);
        advance(Duration.ofSeconds(6));
        assertThat(done(COPIED)).isTrue();
        assertThat(starts(STRAGGLER).filter(run -> run.endsWith("/1"))).hasSize(1);
    }

    @Test
    void taskGoesOnInTheFirstRunWhenTheWorkerOfTheCopyIsLost() {
        durations.put(STRAGGLER + "/1", 9_000L);
        startCopy();
        placeOf(2).crash();
        advance(Duration.ofSeconds(5));
        assertThat(placeOf(1).running()).contains(STRAGGLER);
        advance(Duration.ofSeconds(5));
        assertThat(done(COPIED)).isTrue();
    }

    @Test
    void cancelStopsBothRuns() {
        startCopy();
        List<CallerReply> cancelled = session.call(owner(), new CallerOperation.Cancel(), "/q/" + COPIED);
        advance(Duration.ofSeconds(1));
        assertThat(cancelled).containsExactly(new CallerReply.Done());
        assertThat(places(STRAGGLER)).isEmpty();
        assertThat(starts(STRAGGLER)).hasSize(2);
    }

    @Test
    void successorOfAnOwnerThatDiedInACancelStopsBothRuns() {
        startCopy();
        WORKERS.forEach(name -> session.worker(name).setStopsLost(true));
        session.call(owner(), new CallerOperation.Cancel(), "/q/" + COPIED);
        advance(Duration.ofMillis(200));
        session.killHost(owner());
        session.store().endLeases();
        WORKERS.forEach(name -> session.worker(name).setStopsLost(false));
        advance(Duration.ofSeconds(3));
        assertThat(places(STRAGGLER)).isEmpty();
        assertThat(starts(STRAGGLER)).hasSize(2);
    }

    @Test
    void failureOfOneRunLeavesTheTaskToTheOther() {
        startCopy();
        placeOf(1).end(STRAGGLER, EndKind.FAILED);
        advance(Duration.ofSeconds(1));
        assertThat(placeOf(2).running()).contains(STRAGGLER);
        assertThat(starts(STRAGGLER)).hasSize(2);
        placeOf(2).end(STRAGGLER, EndKind.DONE);
        advance(Duration.ofMillis(500));
        assertThat(done(COPIED)).isTrue();
    }

    /** The queue permits three attempts; a copy may not use up a fourth. */
    @Test
    void failedCopiesCountAsAttemptsAndNeverExceedThem() {
        durations.put(STRAGGLER + "/3", 60_000L);
        startCopy();
        placeOf(1).end(STRAGGLER, EndKind.FAILED);
        placeOf(2).end(STRAGGLER, EndKind.FAILED);
        advance(Duration.ofSeconds(5));
        assertThat(starts(STRAGGLER)).hasSize(3);
        placeOf(3).end(STRAGGLER, EndKind.FAILED);
        advance(Duration.ofSeconds(1));
        assertThat(session.store().value("flamingopitch/progress/" + COPIED)).contains("\"end\":\"FAILED\"");
        assertThat(starts(STRAGGLER)).hasSize(3);
    }

    @Test
    void copyIsNotStartedWhileTasksOfTheSamePriorityWait() {
        advance(Duration.ofMillis(500));
        submit("00000000000000ee", step(300, false, false));
        for (int i = 0; i < 200; i++) {
            session.advance(Duration.ofMillis(5));
            assertThat(places(STRAGGLER)).hasSize(1);
        }
    }

    /** 5 % of 192 cores are 9.6 cores. */
    @Test
    void copiesReserveAtMostTheirShareOfTheCell() {
        String job = "00000000000000ff";
        for (int i = 0; i < 20; i++) {
            durations.put(job + ".0.0." + i + "/1", 60_000L);
            durations.put(job + ".0.0." + i + "/2", 60_000L);
        }
        session.call(owner(), new CallerOperation.Cancel(), "/q/" + COPIED);
        submit(job, step(20, true, false));
        advance(Duration.ofSeconds(3));
        assertThat(session.running(job)).hasSize(20 + 9);
    }

    @Test
    void ownerWithoutTheStoreStartsNoCopy() {
        advance(Duration.ofMillis(900));
        session.store().setUnavailable(true);
        advance(Duration.ofSeconds(3));
        assertThat(places(STRAGGLER)).hasSize(1);
        session.store().setUnavailable(false);
        advance(Duration.ofSeconds(3));
        assertThat(starts(SINGLE_STRAGGLER)).hasSize(1);
    }
}
