package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A task that crashes each worker is given up, and no task that ran beside it or on a lost worker. */
final class CrashingTaskTest {

    private static final String DEADLY_JOB = "00000000000000dd";

    private static final String INNOCENT_JOB = "00000000000000aa";

    private static final Duration STEP = Duration.ofMillis(10);

    private static final Duration DOWN_TIME = Duration.ofMillis(3_200);

    private static final int MAX_CRASHES = 3;

    /** The platform allows to give up a task under which this many workers have crashed. */
    private static final int CRASHES_ALLOWED_TO_GIVE_UP = 2;

    private static final int WORKERS = 6;

    private static final int SEEDS = 50;

    private final Map<String, Duration> downFor = new LinkedHashMap<>();

    private final Set<String> names = new LinkedHashSet<>();

    private final List<FakeWorker> workers = new ArrayList<>();

    private final Map<TaskRef, Integer> crashesUnderTask = new LinkedHashMap<>();

    private CellSession session;

    private Return returnMode = Return.NEW_ID;

    private Duration downTime = DOWN_TIME;

    /** How long each task has been running, by the names of its worker and of the task. */
    private Map<String, Duration> runningFor = new LinkedHashMap<>();

    private boolean crashesAtOnce;

    private enum Return {
        NEW_ID,
        SAME_ID
    }

    @BeforeEach
    void startCell() {
        startCell(0);
    }

    private void startCell(long seed) {
        session = new CellSession(seed);
        names.clear();
        workers.clear();
        downFor.clear();
        crashesUnderTask.clear();
        runningFor.clear();
        for (int i = 0; i < WORKERS; i++) {
            addWorker("w" + i, "w" + i + ":1");
        }
        session.addHost("h1");
        session.addHost("h2");
        advance(Duration.ofSeconds(3));
    }

    private void addWorker(String name, String address) {
        FakeWorker worker = session.addWorker(name, address, 4_000);
        worker.setCrashesAtOnce(crashesAtOnce);
        worker.setDeadlyTasks(task -> task.job().value().equals(DEADLY_JOB));
        names.add(name);
        workers.add(worker);
    }

    private void advance(Duration time) {
        for (Duration left = time; left.compareTo(Duration.ZERO) > 0; left = left.minus(STEP)) {
            session.advance(STEP);
            List.copyOf(names).forEach(this::bringBackIfDue);
        }
    }

    private void bringBackIfDue(String name) {
        FakeWorker worker = session.worker(name);
        if (!worker.crashed()) {
            return;
        }
        Duration down = downFor.merge(name, STEP, Duration::plus);
        if (down.compareTo(downTime) < 0) {
            return;
        }
        downFor.remove(name);
        if (returnMode == Return.SAME_ID) {
            worker.restart();
            return;
        }
        session.removeWorker(name);
        names.remove(name);
        addWorker(name + "'", worker.address());
    }

    /** Advances the clock; innocent tasks end as done when they have run for the given time. */
    private void advanceWithEnds(Duration time, Duration taskDuration) {
        for (Duration left = time; left.compareTo(Duration.ZERO) > 0; left = left.minus(STEP)) {
            advance(STEP);
            Map<String, Duration> nextRunningFor = new LinkedHashMap<>();
            for (String name : names) {
                FakeWorker worker = session.worker(name);
                for (TaskRef task : worker.running()) {
                    Duration total =
                            runningFor.getOrDefault(name + task, Duration.ZERO).plus(STEP);
                    nextRunningFor.put(name + task, total);
                    if (isInnocent(task) && total.compareTo(taskDuration) >= 0) {
                        worker.end(task, EndKind.DONE);
                    }
                }
            }
            runningFor = nextRunningFor;
        }
    }

    private static boolean isInnocent(TaskRef task) {
        return !task.job().value().equals(DEADLY_JOB);
    }

    private List<CallerReply> submit(String job, int count, long milliCores, boolean longRunning) {
        return session.call(
                owner(), new CallerOperation.Submit(CellSession.job(count, milliCores, longRunning)), "/q/" + job);
    }

    private String owner() {
        return session.store().value("flamingopitch/owner/cell").contains("h1") ? "h1" : "h2";
    }

    private void replaceOwner() {
        session.killHost(owner());
        session.store().endLeases();
        advance(Duration.ofMillis(1_500));
    }

    private JobState state(String job) {
        List<CallerReply> replies = session.call(owner(), new CallerOperation.Ask(), "/q/" + job);
        advance(Duration.ofMillis(100));
        assertThat(replies).hasSize(1);
        return ((CallerReply.State) replies.get(0)).state();
    }

    private long starts(String job) {
        return workers.stream()
                .flatMap(worker -> worker.started().stream())
                .filter(start -> start.startsWith(job))
                .count();
    }

    private void crashWorkersOf(String job) {
        for (String name : List.copyOf(names)) {
            FakeWorker worker = session.worker(name);
            if (worker.running().stream().anyMatch(task -> task.job().value().equals(job))) {
                worker.crash();
            }
        }
    }

    @ParameterizedTest
    @EnumSource(Return.class)
    void taskThatCrashesEachWorkerIsGivenUpAfterThreeCrashes(Return mode) {
        returnMode = mode;
        submit(DEADLY_JOB, 1, 1_000, false);
        advance(Duration.ofSeconds(40));
        assertThat(starts(DEADLY_JOB)).isEqualTo(MAX_CRASHES);
        assertThat(state(DEADLY_JOB)).isEqualTo(JobState.FAILED);
    }

    @ParameterizedTest
    @EnumSource(Return.class)
    void taskThatCrashesEachWorkerBeforeItsStartIsAnsweredIsGivenUpInTime(Return mode) {
        returnMode = mode;
        crashesAtOnce = true;
        workers.forEach(worker -> worker.setCrashesAtOnce(true));
        submit(DEADLY_JOB, 1, 1_000, false);
        advance(Duration.ofSeconds(60));
        assertThat(starts(DEADLY_JOB)).isBetween((long) MAX_CRASHES, MAX_CRASHES + 2L);
        assertThat(state(DEADLY_JOB)).isEqualTo(JobState.FAILED);
    }

    @ParameterizedTest
    @EnumSource(Return.class)
    void longRunningTaskThatCrashesEachWorkerIsGivenUp(Return mode) {
        returnMode = mode;
        submit(DEADLY_JOB, 1, 1_000, true);
        advance(Duration.ofSeconds(40));
        assertThat(starts(DEADLY_JOB)).isEqualTo(MAX_CRASHES);
        assertThat(state(DEADLY_JOB)).isEqualTo(JobState.FAILED);
    }

    @ParameterizedTest
    @EnumSource(Return.class)
    void crashIsCountedThoughTheLeaseExpiredBeforeTheWorkerCameBack(Return mode) {
        returnMode = mode;
        downTime = Duration.ofSeconds(8);
        submit(DEADLY_JOB, 1, 1_000, false);
        advance(Duration.ofSeconds(60));
        assertThat(starts(DEADLY_JOB)).isBetween((long) MAX_CRASHES, MAX_CRASHES + 2L);
        assertThat(state(DEADLY_JOB)).isEqualTo(JobState.FAILED);
    }

    @ParameterizedTest
    @EnumSource(Return.class)
    void crashCountSurvivesATakeover(Return mode) {
        returnMode = mode;
        submit(DEADLY_JOB, 1, 1_000, false);
        advance(Duration.ofMillis(5_000));
        assertThat(starts(DEADLY_JOB)).isEqualTo(2);
        replaceOwner();
        session.addHost("h1".equals(owner()) ? "h2" : "h1");
        advance(Duration.ofSeconds(40));
        assertThat(starts(DEADLY_JOB)).isEqualTo(MAX_CRASHES);
        assertThat(state(DEADLY_JOB)).isEqualTo(JobState.FAILED);
    }

    @ParameterizedTest
    @EnumSource(Return.class)
    void tasksBesideACrashingTaskAreNotGivenUp(Return mode) {
        returnMode = mode;
        submit(INNOCENT_JOB, 20, 1_000, false);
        submit(DEADLY_JOB, 2, 1_000, false);
        advanceWithEnds(Duration.ofSeconds(60), Duration.ofMillis(1_500));
        assertThat(state(INNOCENT_JOB)).isEqualTo(JobState.DONE);
        assertThat(state(DEADLY_JOB)).isEqualTo(JobState.FAILED);
        assertThat(starts(DEADLY_JOB)).isLessThanOrEqualTo(2L * MAX_CRASHES);
    }

    @Test
    void crashingTaskIsStartedAgainAndGivenUpInAFullCell() {
        submit(DEADLY_JOB, 1, 1_000, false);
        Map<String, List<CallerReply>> submissions = new LinkedHashMap<>();
        for (int i = 0; i < 60; i++) {
            String job = "00000000000000%02d".formatted(i);
            submissions.put(job, submit(job, WORKERS * 2, 1_000, false));
            advanceWithEnds(Duration.ofMillis(500), Duration.ofMillis(1_500));
        }
        assertThat(state(DEADLY_JOB)).isEqualTo(JobState.FAILED);
        advanceWithEnds(Duration.ofSeconds(30), Duration.ofMillis(1_500));
        submissions.values().removeIf(replies -> !replies.equals(List.of(new CallerReply.Done())));
        assertThat(submissions).hasSizeGreaterThan(10);
        submissions.keySet().forEach(job -> assertThat(state(job)).isEqualTo(JobState.DONE));
    }

    @Test
    void runsOnACutOffWorkerAreNotCountedAsCrashes() {
        submit(INNOCENT_JOB, 1, 1_000, true);
        for (int i = 0; i < 5; i++) {
            advance(Duration.ofMillis(300));
            List<FakeWorker> cutOff = names.stream()
                    .map(session::worker)
                    .filter(worker -> !worker.running().isEmpty())
                    .toList();
            cutOff.forEach(worker -> worker.setUnresponsive(true));
            advance(Duration.ofMillis(7_000));
            cutOff.forEach(worker -> worker.setUnresponsive(false));
        }
        advance(Duration.ofSeconds(2));
        assertThat(state(INNOCENT_JOB)).isEqualTo(JobState.RUNNING);
        assertThat(session.running(INNOCENT_JOB)).hasSize(1);
    }

    @ParameterizedTest
    @EnumSource(Return.class)
    void provenTaskIsNotSuspectedWhenItsWorkerCrashes(Return mode) {
        returnMode = mode;
        submit(INNOCENT_JOB, 1, 1_000, true);
        for (int i = 0; i < 5; i++) {
            advance(Duration.ofSeconds(9));
            crashWorkersOf(INNOCENT_JOB);
        }
        advance(Duration.ofSeconds(9));
        assertThat(state(INNOCENT_JOB)).isEqualTo(JobState.RUNNING);
        assertThat(session.running(INNOCENT_JOB)).hasSize(1);
    }

    @Test
    void reportsThatComeLateCountEachCrashOnce() {
        returnMode = Return.SAME_ID;
        submit(DEADLY_JOB, 1, 1_000, false);
        advance(Duration.ofMillis(4_000));
        for (int i = 0; i < 4; i++) {
            replaceOwner();
            session.addHost("h1".equals(owner()) ? "h2" : "h1");
            advance(Duration.ofSeconds(2));
        }
        advance(Duration.ofSeconds(40));
        assertThat(starts(DEADLY_JOB)).isGreaterThanOrEqualTo(MAX_CRASHES);
        assertThat(state(DEADLY_JOB)).isEqualTo(JobState.FAILED);
    }

    @Test
    void workersThatCrashOfThemselvesNowAndThenGiveUpNoTask() {
        List<Long> failedSeeds = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            if (stateAfterCrashes(seed, 3_000, 8_000) != JobState.DONE) {
                failedSeeds.add(seed);
            }
        }
        assertThat(failedSeeds).as("seeds with a job that is not done").isEmpty();
    }

    @Test
    void noTaskIsGivenUpUnderWhichFewerThanTwoWorkersCrashed() {
        List<Long> failedSeeds = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            JobState state = stateAfterCrashes(seed, 500, 2_500);
            boolean mayBeGivenUp =
                    crashesUnderTask.values().stream().anyMatch(crashes -> crashes >= CRASHES_ALLOWED_TO_GIVE_UP);
            if (state != JobState.DONE && !(state == JobState.FAILED && mayBeGivenUp)) {
                failedSeeds.add(seed);
            }
        }
        assertThat(failedSeeds)
                .as("seeds with a job that was given up without cause")
                .isEmpty();
    }

    private JobState stateAfterCrashes(long seed, int minIntervalMillis, int maxIntervalMillis) {
        startCell(seed);
        SplittableRandom random = new SplittableRandom(seed);
        returnMode = random.nextBoolean() ? Return.NEW_ID : Return.SAME_ID;
        submit(INNOCENT_JOB, 30, 1_000, false);
        for (int i = 0; i < 12; i++) {
            advanceWithEnds(
                    Duration.ofMillis(random.nextInt(minIntervalMillis, maxIntervalMillis)), Duration.ofMillis(1_800));
            List<String> up = names.stream()
                    .filter(name -> !session.worker(name).crashed())
                    .toList();
            if (!up.isEmpty()) {
                FakeWorker victim = session.worker(up.get(random.nextInt(up.size())));
                victim.running().forEach(task -> crashesUnderTask.merge(task, 1, Integer::sum));
                victim.crash();
            }
        }
        advanceWithEnds(Duration.ofSeconds(30), Duration.ofMillis(1_800));
        return state(INNOCENT_JOB);
    }
}
