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

/** Asks each worker of a rack for reports, which renew the leases of its tasks, and corrects the reservations. */
final class ReportPoller {

    private final RackScope scope;

    private final RequestDispatcher dispatcher;

    private final TaskKeeper tasks;

    ReportPoller(RackScope scope, RequestDispatcher dispatcher, TaskKeeper tasks) {
        this.scope = scope;
        this.dispatcher = dispatcher;
        this.tasks = tasks;
    }

    void start() {
        scope.context().schedule(scope.timings().transit(), this::pollRegularly);
    }

    private void pollRegularly() {
        if (scope.closed()) {
            return;
        }
        for (Worker worker : List.copyOf(scope.workers())) {
            askForReport(worker);
            tasks.endLapsed(worker);
            if (worker.leaving()) {
                tasks.evict(worker);
            }
        }
        tasks.forgetOldRefusals();
        scope.context().schedule(scope.timings().reportInterval(), this::pollRegularly);
    }

    private void askForReport(Worker worker) {
        if (worker.reportInFlight() || !scope.active()) {
            return;
        }
        Instant sentAt = scope.now();
        Instant leaseUntil = sentAt.plus(scope.timings().taskLease());
        List<TaskId> renewed = tasks.renewable(worker);
        List<TaskId> forget = List.copyOf(worker.acknowledged());
        if (!renewed.isEmpty()) {
            worker.extendLeaseHorizon(leaseUntil);
        }
        worker.reportInFlight(true);
        WorkerRequest request = new WorkerRequest.Report(renewed, leaseUntil, forget);
        scope.call(worker, request, scope.validUntil(), result -> applyResult(result, worker, sentAt, forget));
    }

    private void applyResult(WorkerResult result, Worker worker, Instant sentAt, List<TaskId> forgotten) {
        worker.reportInFlight(false);
        if (scope.closed()) {
            return;
        }
        if (!(result instanceof WorkerResult.Reported report)) {
            worker.uncertain();
            return;
        }
        worker.acknowledged().removeAll(forgotten);
        worker.foreignConnections(report.connections());
        applyRequests(report.requests(), worker, sentAt);
        tasks.applyReport(report.tasks(), worker, sentAt);
        worker.reported(sentAt);
        dispatcher.serveQueue();
    }

    private void applyRequests(List<RequestId> reported, Worker worker, Instant sentAt) {
        Set<RequestId> listed = new HashSet<>(reported);
        Instant doubtBound = sentAt.minus(scope.timings().transit());
        for (Map.Entry<RequestId, Reservation> entry :
                List.copyOf(worker.requests().entrySet())) {
            boolean resolvable = foreign(entry.getKey()) || entry.getValue().inDoubtBefore(doubtBound);
            if (resolvable && !listed.contains(entry.getKey())) {
                worker.release(entry.getKey());
            }
        }
        Resources assumed = largestUrgentSize();
        for (RequestId request : reported) {
            if (foreign(request)) {
                worker.reserve(request, assumed);
            }
        }
    }

    private boolean foreign(RequestId request) {
        return !request.value().startsWith(scope.context().self() + "/");
    }

    private Resources largestUrgentSize() {
        Resources largest = Resources.NONE;
        for (KindRule rule : scope.configuration().rules().kinds()) {
            if (rule.urgency() == Urgency.URGENT) {
                largest = largest.max(rule.size());
            }
        }
        return largest;
    }
}
