package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.flamingopitch.scheduler.cell.model.RunEnd;
import org.flamingopitch.scheduler.cell.model.RunReport;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.port.OrderRejection;
import org.flamingopitch.scheduler.cell.port.WorkerAnswer;
import org.flamingopitch.scheduler.cell.port.WorkerOrder;

/** Looks at one worker: one waiting call at a time extends its lease, acknowledges ends and brings its runs. */
final class WorkerPoll {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** How long the worker may wait for an end; the lease is several times as long. */
    private static final Duration LONG_WAIT = Duration.ofMillis(1_500);

    /** Where tasks fill, figures are needed to notice that they disturb others. */
    private static final Duration FILLED_WAIT = Duration.ofMillis(800);

    /** Where a serving task may soon miss its target: a figure covers half a second. */
    private static final Duration CRITICAL_WAIT = Duration.ofMillis(350);

    /** Ends that follow closely are collected; each look at a worker is charged. */
    private static final Duration MIN_GAP = Duration.ofMillis(120);

    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    /** How long acknowledging an end may wait while nothing else needs a look at the worker. */
    private static final Duration IDLE_ACKNOWLEDGE_DELAY = Duration.ofMillis(1_000);

    /** Without this much left, the lease is extended even if the last ends are not durable yet. */
    private static final Duration LEASE_RESERVE = Duration.ofMillis(2_500);

    private final CellContext context;

    private final WorkerState worker;

    private final long fence;

    private final Duration lease;

    private final RunListener listener;

    private boolean inFlight;

    private Instant nextAt = Instant.MIN;

    private Instant leaseSentAt = Instant.MIN;

    private int failures;

    WorkerPoll(CellContext context, WorkerState worker, long fence, Duration lease, RunListener listener) {
        this.context = context;
        this.worker = worker;
        this.fence = fence;
        this.lease = lease;
        this.listener = listener;
    }

    WorkerState worker() {
        return worker;
    }

    boolean answering() {
        return failures == 0 && worker.reported();
    }

    int failures() {
        return failures;
    }

    /** Looks as soon as no call is under way. */
    void hurry() {
        nextAt = Instant.MIN;
    }

    /** Looks at the worker if it is due. */
    void pollIfDue(boolean mayExtend) {
        Instant now = context.now();
        if (inFlight || !worker.known() || now.isBefore(nextAt)) {
            return;
        }
        boolean active = worker.runs().stream().anyMatch(run -> run.phase() != RunPhase.PLANNED);
        boolean needed = active || !worker.reported() || worker.unknownRuns() || failures > 0;
        if (!needed && !worker.endsToAcknowledge()) {
            return;
        }
        boolean leaseShort = !now.isBefore(leaseSentAt.plus(lease).minus(LEASE_RESERVE));
        if (!worker.allEndsDurable() && worker.reported() && !leaseShort) {
            return;
        }
        send(active, mayExtend);
    }

    private void send(boolean active, boolean mayExtend) {
        Instant now = context.now();
        inFlight = true;
        boolean wait = active && worker.allEndsDurable() && failures == 0 && worker.reported();
        boolean extend = mayExtend
                && failures == 0
                && worker.clockKnown()
                && !worker.runs().isEmpty();
        long leaseEnd = extend ? worker.leaseEnd(lease, now) : WorkerOrder.NO_LEASE;
        if (extend) {
            leaseSentAt = now;
        }
        long acknowledged = worker.durableEnd();
        WorkerOrder order = new WorkerOrder.Hold(leaseEnd, fence, acknowledged, wait ? waitTime() : Duration.ZERO);
        long life = worker.life();
        context.callWorker(worker.target(), order, answer -> answered(answer, acknowledged, life, now));
    }

    private Duration waitTime() {
        if (worker.critical()) {
            return CRITICAL_WAIT;
        }
        return worker.filled() ? FILLED_WAIT : LONG_WAIT;
    }

    private void answered(WorkerAnswer answer, long acknowledged, long life, Instant sentAt) {
        inFlight = false;
        if (answer instanceof WorkerAnswer.Report report) {
            if (failures > 0) {
                LOGGER.atInfo().log("event=worker_regained worker=%s failures=%d", worker.id(), failures);
            }
            failures = 0;
            apply(report, acknowledged, life, sentAt);
            return;
        }
        if (answer instanceof WorkerAnswer.Rejected rejected && rejected.reason() == OrderRejection.FENCED) {
            listener.fenced(worker);
            return;
        }
        failures++;
        if (failures == 1) {
            LOGGER.atWarning().log("event=worker_silent worker=%s answer=%s", worker.id(), answer);
            listener.workersChanged();
        }
        nextAt = context.now().plus(RETRY_DELAY.multipliedBy(Math.min(failures, 4)));
    }

    private void apply(WorkerAnswer.Report report, long acknowledged, long life, Instant sentAt) {
        Instant now = context.now();
        boolean first = !worker.reported();
        boolean reborn = worker.noteReport(report.life(), report.clockMillis(), lease, now);
        if (reborn) {
            LOGGER.atWarning().log("event=worker_reborn worker=%s life=%d before=%d", worker.id(), report.life(), life);
        } else {
            worker.noteAcknowledged(acknowledged);
        }
        worker.setUnknownRuns(false);
        Set<Run> listed = new HashSet<>();
        for (RunReport running : report.running()) {
            applyRunning(running, listed, now);
        }
        for (RunEnd end : report.ended()) {
            Run run = runOf(end.task(), end.run());
            if (run != null) {
                listed.add(run);
            }
            applyEnd(end);
        }
        for (Run run : List.copyOf(worker.runs())) {
            boolean settled = run.settledAt() != null && run.settledAt().isBefore(sentAt);
            if (settled && !listed.contains(run)) {
                listener.gone(run, reborn ? "worker reborn" : "not listed");
            }
        }
        boolean quiet = report.ended().isEmpty();
        boolean active = !worker.runs().isEmpty();
        nextAt = active ? now.plus(quiet ? Duration.ZERO : MIN_GAP) : now.plus(IDLE_ACKNOWLEDGE_DELAY);
        if (quiet && active && Duration.between(sentAt, now).compareTo(MIN_GAP) < 0) {
            nextAt = now.plus(MIN_GAP);
        }
        if (first || reborn) {
            listener.workersChanged();
        }
        listener.reportApplied(worker);
    }

    private void applyRunning(RunReport running, Set<Run> listed, Instant now) {
        Run run = runOf(running.task(), running.run());
        if (run == null) {
            listener.found(worker, running);
            Run adopted = runOf(running.task(), running.run());
            if (adopted != null) {
                listed.add(adopted);
            }
            return;
        }
        listed.add(run);
        run.observe(running.percent(), running.figure(), now);
        run.task().keepCheckpoint(running.checkpoint());
        if (run.phase() == RunPhase.SENT) {
            run.enter(RunPhase.RUNNING);
            run.settle(now);
            listener.settled(run);
        }
    }

    private void applyEnd(RunEnd end) {
        if (worker.alreadySeen(end.number())) {
            return;
        }
        long sequence = listener.ended(worker, end);
        worker.noteEnd(end.number(), sequence);
    }

    private Run runOf(TaskRef ref, int number) {
        for (Run run : worker.runs()) {
            if (run.number() == number && run.task().ref().equals(ref)) {
                return run;
            }
        }
        return null;
    }
}
