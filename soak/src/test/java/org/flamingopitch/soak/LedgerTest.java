package org.flamingopitch.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that each check of the ledger can fail, and what it permits. */
final class LedgerTest {

    private static final WorkerId FIRST = new WorkerId("i-1");

    private static final WorkerId SECOND = new WorkerId("i-2");

    private static final JobPlan PLAN = plan("00000000000000aa", TaskBehaviour.SUCCEEDS);

    private static final TaskId TASK = TaskId.of(PLAN.id(), 0, 0);

    private static final TaskId NEXT = TaskId.of(PLAN.id(), 1, 0);

    private long nanos;

    private FaultHistory faults;

    private Ledger ledger;

    @BeforeEach
    void createLedger(@TempDir Path directory) throws IOException {
        Timeline timeline = new Timeline(() -> nanos, Clock.systemUTC());
        faults = new FaultHistory(timeline);
        ledger = new Ledger(timeline, faults, new EventLog(timeline, directory.resolve("events.log")));
        ledger.submitted(PLAN);
        ledger.submissionAnswered(PLAN.id(), 0, 200);
    }

    private static JobPlan plan(String id, TaskBehaviour behaviour) {
        return new JobPlan(
                new JobId(id), behaviour, 100, List.of(new JobPlan.Step(1, 9_000), new JobPlan.Step(1, 9_000)));
    }

    @Test
    void runWhoseEndIsTakenNoteOfBreaksNoRule() {
        run(FIRST, TASK, 1, "done");
        run(FIRST, NEXT, 1, "done");
        ledger.shown(PLAN.id(), 0, 200, "done", 0);
        assertBroken();
    }

    @Test
    void secondRunBesideAnotherBreaksTwice() {
        start(FIRST, TASK, 1);
        start(SECOND, TASK, 2);
        assertBroken(Rule.TWICE);
    }

    @Test
    void startAfterAnEndThatWasTakenNoteOfBreaksTwice() {
        run(FIRST, TASK, 1, "done");
        start(SECOND, TASK, 2);
        assertBroken(Rule.TWICE);
    }

    @Test
    void startBetweenAnEndAndItsNotingBreaksTwice() {
        start(FIRST, TASK, 1);
        ledger.ended(FIRST, TASK, 1, "done");
        pass(10);
        start(SECOND, TASK, 2);
        ledger.noted(FIRST, TASK, 1);
        assertBroken(Rule.TWICE);
    }

    @Test
    void startAfterAnEndThatLapsedUnseenIsPermitted() {
        start(FIRST, TASK, 1);
        ledger.ended(FIRST, TASK, 1, "done");
        ledger.lapsed(FIRST);
        pass(10);
        start(SECOND, TASK, 2);
        ledger.noted(FIRST, TASK, 1);
        assertBroken();
    }

    @Test
    void startOnAnotherWorkerAfterACrashIsPermitted() {
        start(FIRST, TASK, 1);
        ledger.crashed(FIRST);
        start(SECOND, TASK, 2);
        assertBroken();
    }

    @Test
    void startAfterAllAttemptsHaveFailedBreaksBudget() {
        for (int run = 1; run <= Ledger.MAX_ATTEMPTS; run++) {
            run(FIRST, TASK, run, "failed");
        }
        assertBroken();
        start(FIRST, TASK, Ledger.MAX_ATTEMPTS + 1);
        assertBroken(Rule.BUDGET);
    }

    @Test
    void startBeyondTheCapacityBreaksLimit() {
        JobPlan other = plan("00000000000000bb", TaskBehaviour.SUCCEEDS);
        ledger.submitted(other);
        ledger.submissionAnswered(other.id(), 0, 200);
        start(FIRST, TASK, 1);
        start(FIRST, TaskId.of(other.id(), 0, 0), 1);
        assertBroken(Rule.LIMIT);
    }

    @Test
    void startBeforeTheFormerStepIsDoneBreaksOrder() {
        start(FIRST, NEXT, 1);
        assertBroken(Rule.ORDER);
    }

    @Test
    void startOfAnUnknownJobBreaksUnasked() {
        start(FIRST, new TaskId("00000000000000ff.0.0.0"), 1);
        assertBroken(Rule.UNASKED);
    }

    @Test
    void startWithAnotherSpecBreaksUnasked() {
        ledger.started(FIRST, TASK, 1, "soak SUCCEEDS 101", "");
        assertBroken(Rule.UNASKED);
    }

    @Test
    void startAfterAnAcknowledgedCancelBreaksUnasked() {
        ledger.cancelSent(PLAN.id());
        ledger.cancelAnswered(PLAN.id(), 0, 200);
        pass(Ledger.CANCEL_MILLIS + 1);
        start(FIRST, TASK, 1);
        assertBroken(Rule.UNASKED);
    }

    @Test
    void startOfARejectedJobBreaksRefused() {
        JobPlan other = plan("00000000000000bb", TaskBehaviour.SUCCEEDS);
        ledger.submitted(other);
        ledger.submissionAnswered(other.id(), 0, 503);
        start(FIRST, TaskId.of(other.id(), 0, 0), 1);
        assertBroken(Rule.REFUSED);
    }

    @Test
    void startOfAJobInDoubtIsPermitted() {
        JobPlan other = plan("00000000000000bb", TaskBehaviour.SUCCEEDS);
        ledger.submitted(other);
        ledger.submissionAnswered(other.id(), 0, 0);
        ledger.submissionAnswered(other.id(), 0, 503);
        start(FIRST, TaskId.of(other.id(), 0, 0), 1);
        assertBroken();
    }

    @Test
    void acceptedJobThatIsUnknownBreaksLostOnlyInACalmTime() {
        pass(3_001);
        faults.begin(FaultKind.HOST_KILLED);
        ledger.shown(PLAN.id(), 0, 410, "", 3_001);
        faults.end();
        assertBroken();
        pass(FaultHistory.CONTACT_MILLIS);
        ledger.shown(PLAN.id(), 0, 410, "", 3_001);
        assertBroken(Rule.LOST);
    }

    @Test
    void jobShownAsFailedWithoutFailedRunsBreaksLost() {
        ledger.shown(PLAN.id(), 0, 200, "failed", 0);
        assertBroken(Rule.LOST);
    }

    @Test
    void jobShownAsDoneWhileATaskIsNotBreaksMixed() {
        run(FIRST, TASK, 1, "done");
        ledger.shown(PLAN.id(), 0, 200, "done", 0);
        assertBroken(Rule.MIXED);
    }

    @Test
    void ownerThatGoesOnWithARejectedTokenBreaksOne() {
        ledger.ordered(FIRST, 7, true);
        pass(3_001);
        for (int i = 0; i < 3; i++) {
            ledger.ordered(SECOND, 7, false);
        }
        assertBroken();
        ledger.ordered(SECOND, 7, false);
        assertBroken(Rule.ONE);
    }

    private void run(WorkerId worker, TaskId task, int number, String how) {
        start(worker, task, number);
        ledger.ended(worker, task, number, how);
        ledger.noted(worker, task, number);
        pass(10);
    }

    private void start(WorkerId worker, TaskId task, int number) {
        JobPlan plan = task.job().equals(PLAN.id()) ? PLAN : plan(task.job().text(), TaskBehaviour.SUCCEEDS);
        ledger.started(worker, task, number, plan.spec(), "");
    }

    private void pass(long millis) {
        nanos += Duration.ofMillis(millis).toNanos();
    }

    private void assertBroken(Rule... rules) {
        assertThat(ledger.finish()).extracting(BrokenRule::rule).containsExactly(rules);
    }
}
