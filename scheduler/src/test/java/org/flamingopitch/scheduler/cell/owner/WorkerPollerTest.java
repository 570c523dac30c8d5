package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.scheduler.cell.model.RunReport;
import org.flamingopitch.scheduler.cell.port.WorkerAnswer;
import org.flamingopitch.scheduler.cell.port.WorkerOrder;
import org.junit.jupiter.api.Test;

/** Tests how long the polls of a worker may wait for the end of a run, and which ends they acknowledge. */
final class WorkerPollerTest {

    private static final Failure NO_ANSWER = new Failure("http.wait", "w", "no answer in time");

    private final WorkerOrderSenderTest.ScriptedWorker context = new WorkerOrderSenderTest.ScriptedWorker();

    private final WorkerOrderSenderTest.RecordingListener listener = new WorkerOrderSenderTest.RecordingListener();

    private final WorkerOrderSender sender = new WorkerOrderSender(context, 1, Duration.ofSeconds(6), listener);

    private final WorkerState worker = OwnerFixtures.worker("w", 16_000);

    private final WorkerPoller poller =
            new WorkerPoller(context, worker, 1, Duration.ofSeconds(6), listener, (state, sentAt) -> {});

    private Run startRun() {
        Job job = OwnerFixtures.job("j", OwnerFixtures.bestEffortStep("i", 1, 1_000, 1_000), OwnerFixtures.NOW);
        Run run = OwnerFixtures.task(job).place(worker, OwnerFixtures.NOW);
        worker.add(run);
        sender.start(run);
        return run;
    }

    private WorkerOrder.Hold poll() {
        context.advance(Duration.ofMillis(300));
        poller.pollSoon();
        poller.pollIfDue(true);
        return (WorkerOrder.Hold) context.lastOrder();
    }

    private static WorkerAnswer.Report report(List<RunReport> running) {
        return new WorkerAnswer.Report(1, 0, running, List.of(), true);
    }

    /** Lets the worker have reported an end that is durable. */
    private void recordDurableEnd(long number) {
        worker.ends().record(number, number);
        worker.ends().markDurableUpTo(number);
    }

    /**
     * A worker forgets the ends up to the number in a call, also if it has started again under its id since and counts
     * them anew; tasks that are done would then run again.
     */
    @Test
    void endsThatWereAcknowledgedOnceAreNotAcknowledgedAgain() {
        recordDurableEnd(64);
        assertThat(poll().acknowledged()).isEqualTo(64);
        context.answer(report(List.of()));
        startRun();
        assertThat(poll().acknowledged()).isZero();
    }

    @Test
    void endsAreAcknowledgedAfterALostCallOnlyOnceTheWorkerHasShownThatItIsTheSame() {
        startRun();
        context.answer(new WorkerAnswer.Done(0));
        poll();
        context.answer(new WorkerAnswer.Lost(NO_ANSWER));
        recordDurableEnd(64);
        assertThat(poll().acknowledged()).isZero();
        context.answer(report(List.of()));
        assertThat(poll().acknowledged()).isEqualTo(64);
    }

    @Test
    void endsOfAFormerLifeAreNotAcknowledgedOnceTheEntryShowsAnotherOne() {
        recordDurableEnd(64);
        worker.register(OwnerFixtures.entry("w", 2, 16_000, "r1"), OwnerFixtures.NOW);
        assertThat(poll().acknowledged()).isZero();
    }

    /** Such a run has no end that the poll could wait for, and its task waits for the report. */
    @Test
    void reportThatShowsAnUnansweredStartHadNoEffectIsNotDelayedByALongPoll() {
        Run run = startRun();
        context.answer(new WorkerAnswer.Lost(NO_ANSWER));
        sender.stop(run);
        context.answer(new WorkerAnswer.Done(0));
        assertThat(poll().longestWait()).isZero();
        context.answer(report(List.of()));
        assertThat(listener.terminated()).containsExactly(run);
    }

    /** The poll that is under way when the stop is answered delays the next one, whose report counts. */
    @Test
    void pollBesideAnUnansweredStopOfAnUnansweredStartIsShort() {
        Run run = startRun();
        context.answer(new WorkerAnswer.Lost(NO_ANSWER));
        sender.stop(run);
        assertThat(poll().longestWait()).isPositive().isLessThanOrEqualTo(Duration.ofMillis(300));
    }

    /** A short poll would cost a further call for each stop. */
    @Test
    void pollAfterTheStopOfARunThatTheWorkerHasWaitsForItsEnd() {
        Run run = startRun();
        context.answer(new WorkerAnswer.Done(0));
        sender.stop(run);
        context.answer(new WorkerAnswer.Done(0));
        assertThat(poll().longestWait()).isGreaterThan(Duration.ofMillis(300));
        assertThat(run.confirmed()).isTrue();
    }

    @Test
    void pollWaitsForTheEndOfARunThatWasExecutedThoughItsStartWasUnanswered() {
        Run run = startRun();
        context.answer(new WorkerAnswer.Lost(NO_ANSWER));
        sender.stop(run);
        context.answer(new WorkerAnswer.Done(0));
        poll();
        context.answer(report(List.of(new RunReport(run.task().ref(), run.number(), "", 10, 0))));
        assertThat(poll().longestWait()).isGreaterThan(Duration.ofMillis(300));
    }
}
