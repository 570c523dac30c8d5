package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.scheduler.cell.model.RunEnd;
import org.flamingopitch.scheduler.cell.model.RunReport;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.port.OrderRejection;
import org.flamingopitch.scheduler.cell.port.WorkerAnswer;
import org.flamingopitch.scheduler.cell.port.WorkerListing;
import org.flamingopitch.scheduler.cell.port.WorkerOrder;
import org.flamingopitch.scheduler.cell.port.WorkerTarget;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A start that is wrongly taken for refused lets its task start elsewhere while the first run goes on. */
final class WorkerOrderSenderTest {

    private static final Failure NO_ANSWER = new Failure("http.wait", "w", "no answer in time");

    private final ScriptedWorker context = new ScriptedWorker();

    private final RecordingListener listener = new RecordingListener();

    private final WorkerOrderSender sender = new WorkerOrderSender(context, 1, Duration.ofSeconds(6), listener);

    private final WorkerState worker = OwnerFixtures.worker("w", 16_000);

    private final Run run = startRun();

    private Run startRun() {
        Job job = OwnerFixtures.job("j", OwnerFixtures.bestEffortStep("i", 1, 1_000, 1_000), OwnerFixtures.NOW);
        Run planned = OwnerFixtures.task(job).place(worker, OwnerFixtures.NOW);
        worker.add(planned);
        sender.start(planned);
        return planned;
    }

    private void repeatStart() {
        context.advance(Duration.ofMillis(300));
        sender.repeatOrderIfDue(run);
    }

    /** Applies a report that lists the run, as {@link WorkerPoller} does. */
    private void reportRunning() {
        run.observe(10, 0, context.now());
        run.enterPhase(RunPhase.RUNNING, context.now());
        run.setOrderOutcomeKnown(context.now());
    }

    private static List<WorkerAnswer> answersWithoutEffect() {
        return List.of(
                new WorkerAnswer.NotSent(new Failure("http.connect", "w", "the time to send it has passed")),
                new WorkerAnswer.Unhealthy(),
                new WorkerAnswer.Rejected(OrderRejection.LATE, 0),
                new WorkerAnswer.Rejected(OrderRejection.NO_ROOM, 0));
    }

    @ParameterizedTest
    @MethodSource("answersWithoutEffect")
    void repeatedStartWithoutEffectDoesNotEndARunThatTheWorkerHasReported(WorkerAnswer answer) {
        context.answer(new WorkerAnswer.Lost(NO_ANSWER));
        repeatStart();
        reportRunning();
        context.answer(answer);
        assertThat(listener.refused).isEmpty();
        assertThat(run.phase()).isEqualTo(RunPhase.RUNNING);
    }

    @ParameterizedTest
    @MethodSource("answersWithoutEffect")
    void repeatedStartWithoutEffectIsStoppedBecauseTheFirstOneMayHaveBeenExecuted(WorkerAnswer answer) {
        context.answer(new WorkerAnswer.Lost(NO_ANSWER));
        repeatStart();
        context.answer(answer);
        assertThat(listener.refused).isEmpty();
        assertThat(context.orders.getLast()).isInstanceOf(WorkerOrder.Stop.class);
    }

    /** The life that follows may be of another kind, on which the task must not start. */
    @Test
    void unansweredStartIsNotRepeatedOnALaterLifeOfTheWorker() {
        context.answer(new WorkerAnswer.Lost(NO_ANSWER));
        worker.register(OwnerFixtures.entry("w", 2, 16_000, "r1"), context.now());
        repeatStart();
        assertThat(context.lastOrder()).isInstanceOf(WorkerOrder.Stop.class);
    }

    @Test
    void unansweredStartIsNotRepeatedOnALifeThatOnlyAReportHasShown() {
        context.answer(new WorkerAnswer.Lost(NO_ANSWER));
        worker.recordReport(2, 0, Duration.ofSeconds(6), context.now());
        repeatStart();
        assertThat(context.lastOrder()).isInstanceOf(WorkerOrder.Stop.class);
    }

    @ParameterizedTest
    @MethodSource("answersWithoutEffect")
    void firstStartWithoutEffectIsRefused(WorkerAnswer answer) {
        context.answer(answer);
        assertThat(listener.refused).containsExactly(run);
    }

    @Test
    void startThatAnotherIncarnationAnsweredIsRefusedThoughTheFirstOneWasUnanswered() {
        context.answer(new WorkerAnswer.Lost(NO_ANSWER));
        repeatStart();
        context.answer(new WorkerAnswer.OtherLife());
        assertThat(listener.refused).containsExactly(run);
    }

    @Test
    void startThatWaitsForAConnectionIsWithdrawnByAStop() {
        sender.stop(run);
        WorkerOrder.Start start = (WorkerOrder.Start) context.orders.getFirst();
        assertThat(start.withdrawal().withdrawn()).isTrue();
    }

    @Test
    void stopIsSentBeforeTheStartIsAnswered() {
        sender.stop(run);
        assertThat(context.orders.getLast()).isInstanceOf(WorkerOrder.Stop.class);
    }

    @Test
    void lateAnswerToTheStartDoesNotRepeatAStopThatWasAnswered() {
        sender.stop(run);
        Consumer<WorkerAnswer> startHandler = context.handlers.remove();
        context.answer(new WorkerAnswer.Done(0));
        startHandler.accept(new WorkerAnswer.Lost(NO_ANSWER));
        context.advance(Duration.ofSeconds(1));
        sender.repeatOrderIfDue(run);
        assertThat(context.orders).hasSize(2);
        assertThat(run.startMayBeExecutedLate()).isFalse();
    }

    /** The second notification raised a run to the speed of a slow start after it had been paused. */
    @Test
    void answerToAStartThatAReportHasShownDoesNotNotifyAgain() {
        reportRunning();
        sender.throttle(run, 0);
        context.answer(new WorkerAnswer.Done(0));
        assertThat(listener.outcomeKnown).isEmpty();
    }

    @Test
    void answerToAStartNotifiesOnce() {
        context.answer(new WorkerAnswer.Done(0));
        assertThat(listener.outcomeKnown).containsExactly(run);
    }

    /** A clock that the test advances, and a worker whose calls the test answers one by one. */
    static final class ScriptedWorker implements CellContext {

        private final Deque<WorkerOrder> orders = new ArrayDeque<>();

        private final Deque<Consumer<WorkerAnswer>> handlers = new ArrayDeque<>();

        private Instant now = OwnerFixtures.NOW;

        WorkerOrder lastOrder() {
            return orders.getLast();
        }

        void advance(Duration time) {
            now = now.plus(time);
        }

        void answer(WorkerAnswer answer) {
            handlers.remove().accept(answer);
        }

        @Override
        public Instant now() {
            return now;
        }

        @Override
        public long timeOfDayMillis() {
            return now.toEpochMilli();
        }

        @Override
        public void schedule(Duration delay, Runnable action) {
            throw new AssertionError("no timer is expected");
        }

        @Override
        public void callStore(KeyValueRequest request, Consumer<KeyValueResult> handler) {
            throw new AssertionError("no call to the store is expected");
        }

        @Override
        public void callWorker(WorkerTarget target, WorkerOrder order, Consumer<WorkerAnswer> handler) {
            orders.add(order);
            handlers.add(handler);
        }

        @Override
        public void listWorkers(Consumer<WorkerListing> handler) {
            throw new AssertionError("no list of workers is expected");
        }
    }

    /** Records the runs whose start was refused, and those of which the outcome of an order became known. */
    static final class RecordingListener implements RunListener {

        private final List<Run> refused = new ArrayList<>();

        private final List<Run> outcomeKnown = new ArrayList<>();

        private final List<Run> terminated = new ArrayList<>();

        List<Run> terminated() {
            return terminated;
        }

        @Override
        public long onRunEnded(WorkerState worker, RunEnd end) {
            return 0;
        }

        @Override
        public void onRunTerminated(Run run, String cause) {
            terminated.add(run);
        }

        @Override
        public void onRunMissing(Run run) {}

        @Override
        public void onWorkerLapsed(WorkerState worker, List<Run> runs) {}

        @Override
        public void onWorkerCrashed(WorkerState worker, List<Run> runs) {}

        @Override
        public void onStartRefused(Run run, String reason, boolean workerAtFault) {
            refused.add(run);
        }

        @Override
        public void onStartUnanswered(Run run) {}

        @Override
        public void onOrderOutcomeKnown(Run run) {
            outcomeKnown.add(run);
        }

        @Override
        public void onUnexpectedRun(WorkerState worker, RunReport report) {}

        @Override
        public void onReportApplied(WorkerState worker) {}

        @Override
        public void onWorkersChanged() {}

        @Override
        public void onNewerFencingToken(WorkerState worker) {}
    }
}
