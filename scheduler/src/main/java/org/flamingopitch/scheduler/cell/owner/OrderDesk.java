package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.port.OrderRejection;
import org.flamingopitch.scheduler.cell.port.WorkerAnswer;
import org.flamingopitch.scheduler.cell.port.WorkerOrder;

/** Sends starts, stops and paces to workers and repeats them until it is certain what became of them. */
final class OrderDesk {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The pause before an unanswered order is repeated. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    /** A start that stays unanswered so often is given up: a stop then settles it. */
    private static final int START_ATTEMPTS = 2;

    private static final int UNKNOWN_PACE = -1;

    private final CellContext context;

    private final long fence;

    private final Duration lease;

    private final RunListener listener;

    OrderDesk(CellContext context, long fence, Duration lease, RunListener listener) {
        this.context = context;
        this.fence = fence;
        this.lease = lease;
        this.listener = listener;
    }

    void start(Run run) {
        run.enter(RunPhase.SENT);
        sendStart(run);
    }

    /** Stops a run that was sent; one that the worker does not have yet will not start any more. */
    void stop(Run run) {
        if (run.phase() == RunPhase.STOPPING || run.phase() == RunPhase.PLANNED) {
            return;
        }
        run.enter(RunPhase.STOPPING);
        run.unsettle();
        sendStop(run);
    }

    /** Stops a run that no task of the cell has; repeated with each report that still lists it. */
    void stopUnknown(WorkerState worker, TaskRef task, int number) {
        context.callWorker(worker.target(), new WorkerOrder.Stop(task, number, fence), answer -> {
            if (isFenced(answer)) {
                listener.fenced(worker);
            }
        });
    }

    void pace(Run run, int percent) {
        run.paced(percent, context.now());
        WorkerOrder order = new WorkerOrder.Pace(run.task().ref(), run.number(), percent, fence);
        context.callWorker(run.worker().target(), order, answer -> {
            if (isFenced(answer)) {
                listener.fenced(run.worker());
            } else if (!(answer instanceof WorkerAnswer.Done)) {
                run.paced(UNKNOWN_PACE, context.now());
            }
        });
    }

    /** Repeats what is not settled and due. */
    void retry(Run run) {
        if (run.orderInFlight() || run.settledAt() != null || context.now().isBefore(run.retryAt())) {
            return;
        }
        if (run.phase() == RunPhase.SENT) {
            sendStart(run);
        } else if (run.phase() == RunPhase.STOPPING) {
            sendStop(run);
        }
    }

    private void sendStart(Run run) {
        if (!run.worker().known()) {
            return;
        }
        run.orderSent();
        long leaseEnd = run.worker().leaseEnd(lease, context.now());
        WorkerOrder order = new WorkerOrder.Start(
                run.task().ref(),
                run.number(),
                run.task().job().spec().payload(),
                leaseEnd,
                fence,
                run.task().checkpoint());
        context.callWorker(run.worker().target(), order, answer -> startAnswered(run, answer));
    }

    private void startAnswered(Run run, WorkerAnswer answer) {
        run.orderAnswered();
        if (run.task().run() != run) {
            return;
        }
        if (isFenced(answer)) {
            listener.fenced(run.worker());
            return;
        }
        if (run.phase() == RunPhase.STOPPING) {
            retry(run);
            return;
        }
        boolean first = run.unanswered() == 0;
        if (answer instanceof WorkerAnswer.Done || isOldRun(answer)) {
            run.settle(context.now());
            if (answer instanceof WorkerAnswer.Done && run.phase() == RunPhase.SENT) {
                run.enter(RunPhase.RUNNING);
            }
            listener.settled(run);
            return;
        }
        if (answer instanceof WorkerAnswer.Lost lost) {
            startLost(run, lost);
            return;
        }
        if (first || answer instanceof WorkerAnswer.OtherLife) {
            boolean workerAtFault = !(answer instanceof WorkerAnswer.Rejected);
            listener.refused(run, answer.toString(), workerAtFault);
            return;
        }
        stop(run);
    }

    private void startLost(Run run, WorkerAnswer.Lost lost) {
        run.orderLost(context.now().plus(RETRY_DELAY));
        LOGGER.atWarning().log(
                "event=start_unanswered task=%s run=%d worker=%s attempt=%d %s",
                run.task().ref(), run.number(), run.worker().id(), run.unanswered(), lost.failure());
        if (run.unanswered() >= START_ATTEMPTS) {
            listener.unanswered(run);
            stop(run);
        }
    }

    private void sendStop(Run run) {
        if (!run.worker().known() || run.orderInFlight()) {
            return;
        }
        run.orderSent();
        WorkerOrder order = new WorkerOrder.Stop(run.task().ref(), run.number(), fence);
        context.callWorker(run.worker().target(), order, answer -> stopAnswered(run, answer));
    }

    private void stopAnswered(Run run, WorkerAnswer answer) {
        run.orderAnswered();
        if (run.task().run() != run) {
            return;
        }
        if (isFenced(answer)) {
            listener.fenced(run.worker());
            return;
        }
        boolean settled = answer instanceof WorkerAnswer.Done || answer instanceof WorkerAnswer.Rejected;
        if (settled) {
            run.settle(context.now());
            listener.settled(run);
            return;
        }
        run.orderLost(context.now().plus(RETRY_DELAY));
    }

    private static boolean isFenced(WorkerAnswer answer) {
        return answer instanceof WorkerAnswer.Rejected rejected && rejected.reason() == OrderRejection.FENCED;
    }

    private static boolean isOldRun(WorkerAnswer answer) {
        return answer instanceof WorkerAnswer.Rejected rejected && rejected.reason() == OrderRejection.OLD_RUN;
    }
}
