package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import org.flamingopitch.scheduler.cell.model.RunEnd;
import org.flamingopitch.scheduler.cell.model.RunReport;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.port.OrderRejection;
import org.flamingopitch.scheduler.cell.port.WorkerAnswer;
import org.flamingopitch.scheduler.cell.port.WorkerOrder;
import org.flamingopitch.scheduler.cell.port.WorkerTarget;

/**
 * Polls one worker, one call at a time; each call extends its lease, acknowledges ends of runs and returns its runs.
 */
final class WorkerPoller {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** How long the worker may delay its answer until a run ends; the lease is several times as long. */
    private static final Duration LONG_POLL_TIMEOUT = Duration.ofMillis(1_500);

    /** Shorter beside best-effort tasks, whose interference shows in the reported response times. */
    private static final Duration BEST_EFFORT_POLL_TIMEOUT = Duration.ofMillis(800);

    /** For workers where a latency-critical task may soon miss its target; reported response times cover 500 ms. */
    private static final Duration FREQUENT_POLL_TIMEOUT = Duration.ofMillis(350);

    /** While a run is stopped that the worker may not have: such a poll delays the one after the answer to the stop. */
    private static final Duration UNCONFIRMED_STOP_POLL_TIMEOUT = Duration.ofMillis(300);

    /** Collects ends in quick succession into one call, since each call to a worker is charged. */
    private static final Duration MIN_POLL_INTERVAL = Duration.ofMillis(120);

    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    /** Delay of an acknowledgement while there is no other reason for a call. */
    private static final Duration IDLE_ACKNOWLEDGE_DELAY = Duration.ofMillis(1_000);

    /**
     * With less than this left of the lease, the worker is polled, and the lease extended, even if the last ends are
     * not durable yet.
     */
    private static final Duration LEASE_RENEWAL_MARGIN = Duration.ofMillis(2_500);

    /** Bounds the error of the estimated clock of an idle worker, by which leases are shortened. */
    private static final Duration MAX_CLOCK_AGE = Duration.ofSeconds(60);

    private final CellContext context;

    private final WorkerState worker;

    private final long fencingToken;

    private final Duration leaseDuration;

    private final RunListener listener;

    /** Receives the worker and the time of the call after each report. */
    private final BiConsumer<WorkerState, Instant> reportHandler;

    private boolean callInFlight;

    private Instant nextAt = Instant.MIN;

    private Instant leaseSentAt = Instant.MIN;

    private int failures;

    private boolean probeDue;

    WorkerPoller(
            CellContext context,
            WorkerState worker,
            long fencingToken,
            Duration leaseDuration,
            RunListener listener,
            BiConsumer<WorkerState, Instant> reportHandler) {
        this.context = context;
        this.worker = worker;
        this.fencingToken = fencingToken;
        this.leaseDuration = leaseDuration;
        this.listener = listener;
        this.reportHandler = reportHandler;
    }

    WorkerState worker() {
        return worker;
    }

    /** Returns whether the last call was answered. */
    boolean answering() {
        return failures == 0 && worker.hasReported();
    }

    /** Returns the number of calls without an answer since the last one with an answer. */
    int failures() {
        return failures;
    }

    /** Makes a call due as soon as no call is in flight, also if there is no other reason for one. */
    void probe() {
        probeDue = true;
        nextAt = Instant.MIN;
    }

    /** Makes the next call due as soon as no call is in flight. */
    void pollSoon() {
        nextAt = Instant.MIN;
    }

    /**
     * Calls the worker if a call is due.
     *
     * @param mayExtend whether the call may extend the lease
     */
    void pollIfDue(boolean mayExtend) {
        Instant now = context.now();
        if (callInFlight || !worker.registered() || now.isBefore(nextAt)) {
            return;
        }
        boolean active = worker.runs().stream().anyMatch(run -> run.phase() != RunPhase.PLANNED);
        boolean clockOutdated = worker.clockOlderThan(MAX_CLOCK_AGE, now);
        boolean pollNeeded =
                active || !worker.hasReported() || worker.hasUnknownRuns() || failures > 0 || clockOutdated || probeDue;
        if (!pollNeeded && !worker.ends().awaitAcknowledgement()) {
            return;
        }
        boolean leaseNearExpiry = !now.isBefore(leaseSentAt.plus(leaseDuration).minus(LEASE_RENEWAL_MARGIN));
        if (!worker.ends().allDurable() && worker.hasReported() && !leaseNearExpiry && !probeDue) {
            return;
        }
        send(active, mayExtend);
    }

    private void send(boolean active, boolean mayExtend) {
        Instant now = context.now();
        callInFlight = true;
        boolean longPoll = active && !probeDue && worker.ends().allDurable() && failures == 0 && worker.hasReported();
        probeDue = false;
        boolean extend = mayExtend
                && failures == 0
                && worker.clockKnown()
                && !worker.runs().isEmpty();
        long leaseEnd = extend ? worker.grantLease(leaseDuration, now) : WorkerOrder.NO_LEASE;
        if (extend) {
            leaseSentAt = now;
        }
        long acknowledged = mayAcknowledge() ? worker.ends().lastDurable() : 0;
        WorkerOrder order = new WorkerOrder.Hold(
                leaseEnd, fencingToken, acknowledged, longPoll ? longPollTimeout() : Duration.ZERO);
        long incarnation = worker.incarnation();
        WorkerTarget target = worker.target();
        context.callWorker(target, order, answer -> {
            if (answer instanceof WorkerAnswer.Report) {
                worker.recordAddress(target.address());
            }
            handleAnswer(answer, acknowledged, incarnation, now);
        });
    }

    /**
     * Returns whether the call acknowledges ends. A worker that has started again under its id counts them anew and
     * forgets its own up to the number that it is told, so that each end is acknowledged once, and only to a worker that
     * has answered the last call and whose entry names no other life.
     */
    private boolean mayAcknowledge() {
        return failures == 0 && worker.ends().awaitAcknowledgement() && !worker.registeredInOtherLife();
    }

    private Duration longPollTimeout() {
        List<Run> unconfirmedStops = worker.runs().stream()
                .filter(run -> run.phase() == RunPhase.STOPPING && !run.confirmed())
                .toList();
        if (!unconfirmedStops.isEmpty()) {
            // A run whose start had no effect has no end to wait for: the report alone tells that it is not there.
            boolean anyStopAnswered = unconfirmedStops.stream().anyMatch(run -> run.orderOutcomeKnownAt() != null);
            return anyStopAnswered ? Duration.ZERO : UNCONFIRMED_STOP_POLL_TIMEOUT;
        }
        if (worker.needsFrequentPolling()) {
            return FREQUENT_POLL_TIMEOUT;
        }
        return worker.hasBestEffortTasks() ? BEST_EFFORT_POLL_TIMEOUT : LONG_POLL_TIMEOUT;
    }

    private void handleAnswer(WorkerAnswer answer, long acknowledged, long incarnation, Instant sentAt) {
        callInFlight = false;
        if (answer instanceof WorkerAnswer.Report report) {
            if (failures > 0) {
                LOGGER.atInfo().log("event=worker_regained worker=%s failures=%d", worker.id(), failures);
            }
            failures = 0;
            applyReport(report, acknowledged, incarnation, sentAt);
            return;
        }
        if (answer instanceof WorkerAnswer.Rejected rejected && rejected.reason() == OrderRejection.FENCED) {
            listener.onNewerFencingToken(worker);
            return;
        }
        failures++;
        if (failures == 1) {
            LOGGER.atWarning().log("event=worker_silent worker=%s answer=%s", worker.id(), answer);
            listener.onWorkersChanged();
        }
        nextAt = context.now().plus(RETRY_DELAY.multipliedBy(Math.min(failures, 4)));
    }

    private void applyReport(WorkerAnswer.Report report, long acknowledged, long incarnation, Instant sentAt) {
        Instant now = context.now();
        boolean firstReport = !worker.hasReported();
        boolean restarted = worker.recordReport(report.life(), report.clockMillis(), leaseDuration, now);
        if (restarted) {
            LOGGER.atWarning().log(
                    "event=worker_reborn worker=%s life=%d before=%d", worker.id(), report.life(), incarnation);
        } else {
            worker.ends().markAcknowledged(acknowledged);
        }
        worker.setHasUnknownRuns(false);
        Set<Run> reportedRuns = new HashSet<>();
        for (RunReport running : report.running()) {
            applyRunning(running, reportedRuns, now);
        }
        for (RunEnd end : report.ended()) {
            Run run = findRun(end.task(), end.run());
            if (run != null) {
                reportedRuns.add(run);
            }
            applyEnd(end);
        }
        List<Run> endedWithFormerIncarnation = List.of();
        if (report.allEndsListed()) {
            endedWithFormerIncarnation = endMissingRuns(report.life(), restarted, reportedRuns, sentAt);
        } else {
            // It is unknown whether a run that is not listed has ended, and how.
            LOGGER.atInfo().log(
                    "event=report_incomplete worker=%s ends=%d",
                    worker.id(), report.ended().size());
        }
        if (restarted || !endedWithFormerIncarnation.isEmpty()) {
            listener.onWorkerCrashed(worker, endedWithFormerIncarnation);
        }
        boolean noEnds = report.ended().isEmpty();
        boolean active = !worker.runs().isEmpty();
        nextAt = active ? now.plus(noEnds ? Duration.ZERO : MIN_POLL_INTERVAL) : now.plus(IDLE_ACKNOWLEDGE_DELAY);
        if (noEnds && active && Duration.between(sentAt, now).compareTo(MIN_POLL_INTERVAL) < 0) {
            nextAt = now.plus(MIN_POLL_INTERVAL);
        }
        if (firstReport || restarted) {
            listener.onWorkersChanged();
        }
        listener.onReportApplied(worker);
        reportHandler.accept(worker, sentAt);
    }

    /**
     * Ends the runs that a complete report does not list.
     *
     * @return those that ended because the worker's incarnation in which they were started has ended
     */
    private List<Run> endMissingRuns(long incarnation, boolean restarted, Set<Run> reportedRuns, Instant sentAt) {
        List<Run> endedWithFormerIncarnation = worker.runs().stream()
                .filter(run -> !reportedRuns.contains(run) && startedOnFormerIncarnation(run, incarnation))
                .toList();
        for (Run run : List.copyOf(worker.runs())) {
            boolean outcomeKnownBeforeCall = run.orderOutcomeKnownAt() != null
                    && run.orderOutcomeKnownAt().isBefore(sentAt);
            if (!outcomeKnownBeforeCall || reportedRuns.contains(run)) {
                continue;
            }
            if (run.startMayBeExecutedLate()) {
                listener.onRunMissing(run);
            } else {
                listener.onRunTerminated(run, restarted ? "worker restarted" : "not in the worker's report");
            }
        }
        return endedWithFormerIncarnation;
    }

    /** Returns whether a run was ordered from another incarnation than the present one. */
    private static boolean startedOnFormerIncarnation(Run run, long incarnation) {
        boolean firstOrderInFlight = (run.startInFlight() || run.stopInFlight()) && run.unansweredOrders() == 0;
        return run.phase() != RunPhase.PLANNED
                && !firstOrderInFlight
                && run.workerIncarnation() != 0
                && run.workerIncarnation() != incarnation;
    }

    private void applyRunning(RunReport running, Set<Run> reportedRuns, Instant now) {
        Run run = findRun(running.task(), running.run());
        if (run == null) {
            listener.onUnexpectedRun(worker, running);
            Run adopted = findRun(running.task(), running.run());
            if (adopted != null) {
                reportedRuns.add(adopted);
            }
            return;
        }
        reportedRuns.add(run);
        run.observe(running.percent(), running.measurement(), now);
        run.task().updateCheckpoint(run, running.checkpoint());
        if (run.phase() == RunPhase.SENT) {
            run.enterPhase(RunPhase.RUNNING, now);
            run.setOrderOutcomeKnown(now);
            listener.onOrderOutcomeKnown(run);
        }
    }

    private void applyEnd(RunEnd end) {
        if (worker.ends().processed(end.sequenceNumber())) {
            return;
        }
        long sequence = listener.onRunEnded(worker, end);
        worker.ends().record(end.sequenceNumber(), sequence);
    }

    private Run findRun(TaskRef ref, int number) {
        for (Run run : worker.runs()) {
            if (run.number() == number && run.task().ref().equals(ref)) {
                return run;
            }
        }
        return null;
    }
}
