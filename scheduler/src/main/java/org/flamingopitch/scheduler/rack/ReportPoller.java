package org.flamingopitch.scheduler.rack;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingopitch.scheduler.model.KindRule;
import org.flamingopitch.scheduler.model.RequestId;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.TaskId;
import org.flamingopitch.scheduler.model.Urgency;
import org.flamingopitch.scheduler.worker.WorkerRequest;
import org.flamingopitch.scheduler.worker.WorkerResult;

/**
 * Polls the workers of a rack for reports. Each poll renews the leases of the worker's tasks, and its answer corrects
 * the reservations.
 */
final class ReportPoller {

    private final RackContext rackContext;

    private final RequestDispatcher dispatcher;

    private final TaskManager taskManager;

    ReportPoller(RackContext rackContext, RequestDispatcher dispatcher, TaskManager taskManager) {
        this.rackContext = rackContext;
        this.dispatcher = dispatcher;
        this.taskManager = taskManager;
    }

    void start() {
        rackContext.nodeContext().schedule(rackContext.timings().maxTransitTime(), this::pollWorkers);
    }

    private void pollWorkers() {
        if (rackContext.closed()) {
            return;
        }
        for (Worker worker : List.copyOf(rackContext.workers())) {
            requestReport(worker);
            taskManager.endTasksWithLapsedLeases(worker);
            if (worker.leaving()) {
                taskManager.evictTasks(worker);
            }
        }
        taskManager.expireRefusals();
        rackContext.nodeContext().schedule(rackContext.timings().reportInterval(), this::pollWorkers);
    }

    private void requestReport(Worker worker) {
        if (worker.reportInFlight() || !rackContext.active()) {
            return;
        }
        Instant requestedAt = rackContext.now();
        Instant leaseUntil = requestedAt.plus(rackContext.timings().taskLease());
        List<TaskId> renewed = taskManager.renewableTasks(worker);
        List<TaskId> acknowledged = List.copyOf(worker.acknowledgedTasks());
        if (!renewed.isEmpty()) {
            worker.recordLeaseEnd(leaseUntil);
        }
        worker.setReportInFlight(true);
        WorkerRequest request = new WorkerRequest.Report(renewed, leaseUntil, acknowledged);
        rackContext.call(
                worker,
                request,
                rackContext.validUntil(),
                result -> applyReportResult(result, worker, requestedAt, acknowledged));
    }

    private void applyReportResult(WorkerResult result, Worker worker, Instant requestedAt, List<TaskId> acknowledged) {
        worker.setReportInFlight(false);
        if (rackContext.closed()) {
            return;
        }
        if (!(result instanceof WorkerResult.Reported report)) {
            worker.invalidateReport();
            return;
        }
        worker.acknowledgedTasks().removeAll(acknowledged);
        worker.recordOpenConnections(report.connections());
        applyRequests(report.requests(), worker, requestedAt);
        taskManager.applyReport(report.tasks(), worker, requestedAt);
        worker.recordReport(requestedAt);
        dispatcher.processQueue();
    }

    /**
     * Corrects the reservations for requests. A request that the worker no longer lists is released if another process
     * sent it, or if its outcome became unknown at least one message delay before the report was requested: it has then
     * reached the worker before the report, or is lost. A request that another process sent is reserved with the
     * largest size of an urgent kind, since its kind is not reported.
     */
    private void applyRequests(List<RequestId> reported, Worker worker, Instant requestedAt) {
        Set<RequestId> listed = new HashSet<>(reported);
        Instant outcomeUnknownBound = requestedAt.minus(rackContext.timings().maxTransitTime());
        for (Map.Entry<RequestId, Reservation> entry :
                List.copyOf(worker.requests().entrySet())) {
            boolean releasable =
                    sentByOtherProcess(entry.getKey()) || entry.getValue().outcomeUnknownBy(outcomeUnknownBound);
            if (releasable && !listed.contains(entry.getKey())) {
                worker.release(entry.getKey());
            }
        }
        Resources assumedSize = largestUrgentSize();
        for (RequestId request : reported) {
            if (sentByOtherProcess(request)) {
                worker.reserve(request, assumedSize);
            }
        }
    }

    /** Returns whether another process, the rack's former owner, sent the request. */
    private boolean sentByOtherProcess(RequestId request) {
        return !request.value().startsWith(rackContext.nodeContext().self() + "/");
    }

    private Resources largestUrgentSize() {
        Resources largest = Resources.NONE;
        for (KindRule rule : rackContext.configuration().rules().kinds()) {
            if (rule.urgency() == Urgency.URGENT) {
                largest = largest.max(rule.size());
            }
        }
        return largest;
    }
}
