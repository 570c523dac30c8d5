package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.port.OrderRejection;
import org.flamingopitch.scheduler.cell.port.OrderWithdrawal;
import org.flamingopitch.scheduler.cell.port.WorkerAnswer;
import org.flamingopitch.scheduler.cell.port.WorkerOrder;

/** Sends start, stop and throttle orders to workers; repeats starts and stops until their outcome is known. */
final class WorkerOrderSender {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Delay before an unanswered order is repeated. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    /** After this many unanswered starts the run is stopped instead: the answer to the stop makes the outcome known. */
    private static final int MAX_START_ATTEMPTS = 2;

    /** Throttle level of a run whose worker has not confirmed the last throttle order. */
    private static final int UNCONFIRMED_PERCENT = -1;

    private final CellContext context;

    private final long fencingToken;

    /** The lease that a start grants; a worker carries out no start after its end. */
    private final Duration startLease;

    private final RunListener listener;

    WorkerOrderSender(CellContext context, long fencingToken, Duration startLease, RunListener listener) {
        this.context = context;
        this.fencingToken = fencingToken;
        this.startLease = startLease;
        this.listener = listener;
    }

    /** Sends the start of a planned run. */
    void start(Run run) {
        run.enterPhase(RunPhase.SENT, context.now());
        sendStart(run);
    }

    /**
     * Stops a run whose start was sent. A start that waits for a connection is withdrawn; if it is under way, the stop
     * does not wait for its answer, since a worker that receives the stop first refuses the start.
     */
    void stop(Run run) {
        if (run.phase() == RunPhase.STOPPING || run.phase() == RunPhase.PLANNED) {
            return;
        }
        run.withdrawStart();
        run.enterPhase(RunPhase.STOPPING, context.now());
        run.setOrderOutcomeUnknown();
        sendStop(run);
    }

    /**
     * Sends one stop for a run that belongs to no task of the cell. The caller repeats it for each report that still
     * lists the run.
     */
    void stopUnknownRun(WorkerState worker, TaskRef task, int number) {
        context.callWorker(worker.target(), new WorkerOrder.Stop(task, number, fencingToken), answer -> {
            if (isRejectedByNewerFencingToken(answer)) {
                listener.onNewerFencingToken(worker);
            }
        });
    }

    /**
     * Limits the processor share of a best-effort run.
     *
     * @param percent the share in percent of the run's demand; 0 pauses it, 100 removes the limit
     */
    void throttle(Run run, int percent) {
        run.setThrottledToPercent(percent, context.now());
        WorkerOrder order = new WorkerOrder.Pace(run.task().ref(), run.number(), percent, fencingToken);
        context.callWorker(run.worker().target(), order, answer -> {
            if (isRejectedByNewerFencingToken(answer)) {
                listener.onNewerFencingToken(run.worker());
            } else if (!(answer instanceof WorkerAnswer.Done)) {
                run.setThrottledToPercent(UNCONFIRMED_PERCENT, context.now());
            }
        });
    }

    /** Stops a run whose start is known to have got no answer, instead of repeating the start. */
    void stopIfStartUnanswered(Run run) {
        if (run.phase() == RunPhase.SENT && run.unansweredOrders() > 0 && !run.startInFlight()) {
            stop(run);
        }
    }

    /** Sends the last order of a run again if its outcome is unknown and the retry delay is over. */
    void repeatOrderIfDue(Run run) {
        if (run.orderOutcomeKnownAt() != null || context.now().isBefore(run.retryAt())) {
            return;
        }
        if (run.phase() == RunPhase.SENT && !run.startInFlight()) {
            if (run.placedOnFormerLife()) {
                stop(run);
            } else {
                sendStart(run);
            }
        } else if (run.phase() == RunPhase.STOPPING && !run.stopInFlight()) {
            sendStop(run);
        }
    }

    private void sendStart(Run run) {
        if (!run.worker().registered()) {
            return;
        }
        OrderWithdrawal withdrawal = new OrderWithdrawal();
        run.markStartSent(withdrawal);
        long leaseEnd = run.worker().grantLease(startLease, context.now());
        WorkerOrder order = new WorkerOrder.Start(
                run.task().ref(),
                run.number(),
                run.task().job().spec().payload(),
                leaseEnd,
                fencingToken,
                run.task().checkpoint(),
                withdrawal);
        context.callWorker(run.worker().target(), order, answer -> handleStartAnswer(run, answer));
    }

    private void handleStartAnswer(Run run, WorkerAnswer answer) {
        run.markStartAnswered();
        if (!run.task().hasRun(run)) {
            return;
        }
        if (isRejectedByNewerFencingToken(answer)) {
            listener.onNewerFencingToken(run.worker());
            return;
        }
        if (run.phase() == RunPhase.STOPPING) {
            repeatOrderIfDue(run);
            return;
        }
        if (answer instanceof WorkerAnswer.Done || isRejectedAsOldRun(answer)) {
            // A report may have shown the run before, and the run may have been throttled since.
            boolean alreadyKnown = run.orderOutcomeKnownAt() != null;
            run.setOrderOutcomeKnown(context.now());
            if (answer instanceof WorkerAnswer.Done && run.phase() == RunPhase.SENT) {
                run.enterPhase(RunPhase.RUNNING, context.now());
            }
            if (!alreadyKnown) {
                listener.onOrderOutcomeKnown(run);
            }
        } else if (answer instanceof WorkerAnswer.Lost lost) {
            handleStartUnanswered(run, lost);
        } else if (answer instanceof WorkerAnswer.OtherLife || !run.mayBeStarted()) {
            boolean workerAtFault = !(answer instanceof WorkerAnswer.Rejected);
            listener.onStartRefused(run, answer.toString(), workerAtFault);
        } else if (run.phase() == RunPhase.SENT) {
            stop(run);
        }
    }

    private void handleStartUnanswered(Run run, WorkerAnswer.Lost lost) {
        run.markStartUnanswered();
        run.markOrderUnanswered(context.now().plus(RETRY_DELAY));
        LOGGER.atWarning().log(
                "event=start_unanswered task=%s run=%d worker=%s attempt=%d %s",
                run.task().ref(), run.number(), run.worker().id(), run.unansweredOrders(), lost.failure());
        if (run.phase() == RunPhase.SENT && run.unansweredOrders() >= MAX_START_ATTEMPTS) {
            listener.onStartUnanswered(run);
            stop(run);
        }
    }

    private void sendStop(Run run) {
        if (!run.worker().registered() || run.stopInFlight()) {
            return;
        }
        run.markStopSent();
        WorkerOrder order = new WorkerOrder.Stop(run.task().ref(), run.number(), fencingToken);
        context.callWorker(run.worker().target(), order, answer -> handleStopAnswer(run, answer));
    }

    private void handleStopAnswer(Run run, WorkerAnswer answer) {
        run.markStopAnswered();
        if (!run.task().hasRun(run)) {
            return;
        }
        if (isRejectedByNewerFencingToken(answer)) {
            listener.onNewerFencingToken(run.worker());
            return;
        }
        boolean outcomeKnown = answer instanceof WorkerAnswer.Done || answer instanceof WorkerAnswer.Rejected;
        if (outcomeKnown) {
            if (run.startMayBeExecutedLate() || run.unansweredOrders() > 0) {
                LOGGER.atInfo().log(
                        "event=stop_answered task=%s run=%d worker=%s unanswered=%d answer=%s",
                        run.task().ref(), run.number(), run.worker().id(), run.unansweredOrders(), answer);
            }
            run.setOrderOutcomeKnown(context.now());
            run.markStartsSettled();
            listener.onOrderOutcomeKnown(run);
            return;
        }
        run.markOrderUnanswered(context.now().plus(RETRY_DELAY));
        LOGGER.atWarning().log(
                "event=stop_unanswered task=%s run=%d worker=%s attempt=%d answer=%s",
                run.task().ref(), run.number(), run.worker().id(), run.unansweredOrders(), answer);
    }

    private static boolean isRejectedByNewerFencingToken(WorkerAnswer answer) {
        return answer instanceof WorkerAnswer.Rejected rejected && rejected.reason() == OrderRejection.FENCED;
    }

    private static boolean isRejectedAsOldRun(WorkerAnswer answer) {
        return answer instanceof WorkerAnswer.Rejected rejected && rejected.reason() == OrderRejection.OLD_RUN;
    }
}
