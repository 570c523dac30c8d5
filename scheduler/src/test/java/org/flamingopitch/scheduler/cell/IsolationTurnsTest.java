package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that tasks in isolation do not keep a job off all workers that permit it. Their turns followed each other
 * without a gap on both workers, so that the job was idle until the last suspect was proven.
 */
final class IsolationTurnsTest {

    /** Two workers of more than ten: as many as are reserved for isolation at the same time. */
    private static final int WORKERS = 12;

    private static final int PERMITTED_WORKERS = 2;

    private static final int SUSPECTS = 8;

    private static final String SPECIAL = "special";

    private static final String OTHER_DATA_CENTRE = "b";

    private static final Duration DOWN_TIME = Duration.ofSeconds(3);

    private static final Duration TIME_TO_ANSWER = Duration.ofMillis(200);

    /** The platform expects a job with capacity for it to have a task at work after this time. */
    private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(3);

    /** Each of the four turns of a worker follows 2 s in which new runs there are proven, and takes 2 s itself. */
    private static final Duration MAX_TIME_OF_ALL_TURNS = Duration.ofSeconds(30);

    private static final Duration STEP = Duration.ofMillis(20);

    /** What leaves only two workers to the jobs. */
    private enum Limit {
        LABEL,
        EVACUATION,
        DRAINING
    }

    private final CellSession session = new CellSession();

    private final List<FakeWorker> permitted = new ArrayList<>();

    private Limit limit;

    private void startCell(Limit newLimit) {
        limit = newLimit;
        for (int i = 0; i < WORKERS; i++) {
            FakeWorker worker = session.addWorker("w" + i, 16_000);
            if (i < PERMITTED_WORKERS) {
                worker.setRack(SPECIAL);
                worker.setDataCentre("a");
                permitted.add(worker);
            } else {
                worker.setDataCentre(OTHER_DATA_CENTRE);
                worker.setDraining(limit == Limit.DRAINING);
            }
        }
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
        if (limit == Limit.EVACUATION) {
            EvacuationRequests.evacuate(session, OTHER_DATA_CENTRE);
            session.advance(Duration.ofMillis(200));
        }
        for (int i = 0; i < SUSPECTS; i++) {
            submit(suspect(i), 1_000, false);
        }
    }

    private static String suspect(int number) {
        return "%016x".formatted(0xd0 + number);
    }

    private void submit(String job, long milliCores, boolean longRunning) {
        StepSpec step = new StepSpecBuilder()
                .count(1)
                .demand(new Resources(milliCores, 100, 0))
                .estimateMillis(60_000)
                .checkpointing(true)
                .requiredLabel(limit == Limit.LABEL ? SPECIAL : null)
                .lasting(longRunning)
                .build();
        session.call("h1", new CallerOperation.Submit(new JobSpec("work", List.of(step), 0, 0, 0)), "/q/" + job);
    }

    /** Crashes both workers as soon as all suspects have been started. */
    private void crashPermittedWorkers() {
        Duration time = Duration.ZERO;
        while (runningSuspects() < SUSPECTS && time.compareTo(MAX_IDLE_TIME) < 0) {
            session.advance(STEP);
            time = time.plus(STEP);
        }
        session.advance(TIME_TO_ANSWER);
        assertThat(runningSuspects()).isEqualTo(SUSPECTS);
        permitted.forEach(FakeWorker::crash);
        session.advance(DOWN_TIME);
    }

    private void restartPermittedWorkers() {
        permitted.forEach(FakeWorker::restart);
    }

    private long runningSuspects() {
        return IntStream.range(0, SUSPECTS)
                .filter(i -> !session.running(suspect(i)).isEmpty())
                .count();
    }

    /** Crashes both workers twice under all suspects, which then need isolation. */
    private void crashTwice() {
        crashPermittedWorkers();
        restartPermittedWorkers();
        crashPermittedWorkers();
    }

    /** Returns how long a job has nothing running from now on, up to a limit. */
    private Duration idleTime(String job, Duration max) {
        Duration time = Duration.ZERO;
        while (session.running(job).isEmpty() && time.compareTo(max) < 0) {
            session.advance(STEP);
            time = time.plus(STEP);
        }
        return time;
    }

    private void assertThatJobsStartInTime(String... jobs) {
        for (String job : jobs) {
            assertThat(idleTime(job, Duration.ofSeconds(20))).as(job).isLessThan(MAX_IDLE_TIME);
        }
    }

    @ParameterizedTest
    @EnumSource(Limit.class)
    void jobThatWaitsBesideTheSuspectsIsStartedInTime(Limit newLimit) {
        startCell(newLimit);
        crashTwice();
        submit("00000000000000aa", 1_000, false);
        submit("00000000000000ab", 1_000, true);
        restartPermittedWorkers();
        assertThatJobsStartInTime("00000000000000aa", "00000000000000ab");
    }

    @ParameterizedTest
    @EnumSource(Limit.class)
    void jobThatIsSubmittedDuringTheTurnsOfTheSuspectsIsStartedInTime(Limit newLimit) {
        startCell(newLimit);
        crashTwice();
        restartPermittedWorkers();
        session.advance(Duration.ofMillis(1_500));
        assertThat(runningSuspects()).isEqualTo(PERMITTED_WORKERS);
        submit("00000000000000aa", 1_000, false);
        submit("00000000000000ab", 1_000, true);
        assertThatJobsStartInTime("00000000000000aa", "00000000000000ab");
    }

    /** The gaps must not delay the suspects for good: each new job there has to be proven before the next turn. */
    @ParameterizedTest
    @EnumSource(Limit.class)
    void suspectsAreStartedAlthoughNewJobsAreSubmittedAllTheTime(Limit newLimit) {
        startCell(newLimit);
        crashTwice();
        restartPermittedWorkers();
        Duration time = Duration.ZERO;
        for (int i = 0; runningSuspects() < SUSPECTS && time.compareTo(MAX_TIME_OF_ALL_TURNS) < 0; i++) {
            submit("%016x".formatted(0x100 + i), 100, false);
            session.advance(Duration.ofMillis(500));
            time = time.plusMillis(500);
        }
        assertThat(runningSuspects()).isEqualTo(SUSPECTS);
    }
}
