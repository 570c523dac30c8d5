package org.flamingopitch.scheduler.rack;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.message.TaskState;
import org.flamingopitch.scheduler.message.TaskStatus;
import org.flamingopitch.scheduler.model.KindRule;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.TaskId;
import org.flamingopitch.scheduler.model.Urgency;
import org.flamingopitch.scheduler.worker.TaskPhase;
import org.flamingopitch.scheduler.worker.TaskReport;
import org.flamingopitch.scheduler.worker.WorkerRequest;
import org.flamingopitch.scheduler.worker.WorkerResult;

/**
 * Starts, stops and tracks the tasks of a rack. A task is reported as ended only on proof: its worker says so, a report
 * that could not miss the task does not list it, or its lease has lapsed.
 */
final class TaskManager {

    /** How long a refused or ended task is remembered, so that a late request to start it is refused. */
    private static final Duration REFUSAL_RETENTION = Duration.ofMinutes(2);

    private final RackContext rackContext;

    private final RackPort port;

    private final Map<TaskId, TaskEntry> tasks = new TreeMap<>();

    /** When each task was refused or ended. A request to start such a task is refused; a running one is stopped. */
    private final Map<TaskId, Instant> refusedSince = new HashMap<>();

    private int startsInFlight;

    TaskManager(RackContext rackContext, RackPort port) {
        this.rackContext = rackContext;
        this.port = port;
    }

    boolean idle() {
        return startsInFlight == 0;
    }

    void startTask(PeerMessage.StartTask message, KindRule rule) {
        TaskId task = message.task();
        TaskEntry known = tasks.get(task);
        if (known != null) {
            sendStatus(known.status());
            return;
        }
        if (refusedSince.containsKey(task) || rackContext.refusalReason().isPresent()) {
            refuseStart(task, "the rack's owner does not accept it");
            return;
        }
        Optional<Worker> worker = rackContext.chooseWorker(rule.size(), Urgency.DEFERRABLE);
        if (worker.isEmpty()) {
            refuseStart(task, "no worker of the rack has room");
            return;
        }
        sendStart(message, rule, worker.get());
    }

    void stopTask(TaskId task, boolean checkpoint) {
        TaskEntry entry = tasks.get(task);
        if (entry == null) {
            reportStatuses(List.of(task));
            return;
        }
        if (entry.state().ended()) {
            sendStatus(entry.status());
            return;
        }
        if (!rackContext.active()) {
            return;
        }
        WorkerRequest request = checkpoint ? new WorkerRequest.CheckpointAndStop(task) : new WorkerRequest.Stop(task);
        rackContext.call(entry.worker(), request, rackContext.validUntil(), result -> applyStopResult(result, entry));
    }

    void reportStatuses(List<TaskId> queried) {
        if (!rackContext.active()) {
            return;
        }
        List<TaskStatus> statuses = new ArrayList<>();
        for (TaskId task : queried) {
            statuses.add(resolveStatus(task));
        }
        port.sendTaskStatuses(rackContext.rack(), statuses);
    }

    void acknowledgeEnds(List<TaskId> ended) {
        for (TaskId task : ended) {
            TaskEntry entry = tasks.get(task);
            if (entry != null && entry.state().ended()) {
                refusedSince.put(task, rackContext.now());
                entry.worker().acknowledgedTasks().add(task);
                tasks.remove(task);
            }
        }
    }

    /** Returns the tasks whose leases may be renewed; none until a current report confirms what the worker runs. */
    List<TaskId> renewableTasks(Worker worker) {
        if (!worker.reportCurrent()) {
            return List.of();
        }
        return worker.tasks().keySet().stream()
                .filter(task -> !refusedSince.containsKey(task))
                .toList();
    }

    void applyReport(List<TaskReport> reports, Worker worker, Instant requestedAt) {
        Set<TaskId> listed = new HashSet<>();
        for (TaskReport report : reports) {
            listed.add(report.task());
            applyTaskReport(report, worker);
        }
        endUnreportedTasks(worker, listed, requestedAt);
    }

    void endTasksWithLapsedLeases(Worker worker) {
        if (!rackContext.active() || worker.reportCurrent() || !rackContext.taskLeasesLapsed(worker)) {
            return;
        }
        for (TaskId task : List.copyOf(worker.tasks().keySet())) {
            TaskEntry entry = tasks.get(task);
            if (entry != null && !entry.state().ended()) {
                endTask(entry, TaskState.GONE, "its worker is silent and its lease has lapsed");
            }
        }
    }

    void evictTasks(Worker worker) {
        List.copyOf(worker.tasks().keySet()).forEach(task -> stopTask(task, true));
    }

    void expireRefusals() {
        Instant bound = rackContext.now().minus(REFUSAL_RETENTION);
        refusedSince.values().removeIf(refusedAt -> refusedAt.isBefore(bound));
    }

    private void sendStart(PeerMessage.StartTask message, KindRule rule, Worker worker) {
        Instant now = rackContext.now();
        Instant leaseUntil = now.plus(rackContext.timings().startLease());
        Instant startableUntil = leaseUntil.plus(rackContext.timings().clockSkew());
        TaskEntry entry = new TaskEntry(message.task(), worker, startableUntil);
        tasks.put(message.task(), entry);
        worker.reserve(message.task(), rule.size());
        worker.recordLeaseEnd(leaseUntil);
        startsInFlight++;
        WorkerRequest request = new WorkerRequest.StartTask(
                message.task(), message.kind(), rule.size(), message.payload(), message.resumePoint(), leaseUntil);
        Instant sendBefore = now.plus(rackContext.timings().maxTransitTime());
        Instant notAfter = rackContext.validUntil().isBefore(sendBefore) ? rackContext.validUntil() : sendBefore;
        rackContext.call(worker, request, notAfter, result -> applyStartResult(result, entry));
    }

    private void applyStartResult(WorkerResult result, TaskEntry entry) {
        startsInFlight--;
        if (result instanceof WorkerResult.TaskStarted) {
            entry.markRunning(rackContext.now());
            sendStatus(entry.status());
        } else if (result instanceof WorkerResult.TaskRefused taskRefused) {
            endTask(entry, TaskState.NEVER_STARTED, taskRefused.detail());
        } else if (result instanceof WorkerResult.NotSent notSent) {
            entry.worker().invalidateReport();
            endTask(entry, TaskState.NEVER_STARTED, notSent.failure().detail());
        } else {
            entry.worker().invalidateReport();
        }
    }

    private void applyStopResult(WorkerResult result, TaskEntry entry) {
        if (result instanceof WorkerResult.TaskChanged changed) {
            applyTaskReport(changed.report(), entry.worker());
        } else if (result instanceof WorkerResult.TaskMissing && entry.everSeenRunning()) {
            endTask(entry, TaskState.GONE, "its worker does not know it");
        }
    }

    /** Returns the status of a task; an unknown task that cannot be running is refused from now on. */
    private TaskStatus resolveStatus(TaskId task) {
        TaskEntry entry = tasks.get(task);
        if (entry != null) {
            return entry.status();
        }
        if (!rackContext.allTasksKnown()) {
            return TaskStatus.of(
                    task, TaskState.UNDETERMINED, rackContext.rack().value());
        }
        refusedSince.put(task, rackContext.now());
        return TaskStatus.of(task, TaskState.GONE, "no worker of the rack runs it");
    }

    private void applyTaskReport(TaskReport report, Worker worker) {
        if (report.phase() == TaskPhase.RUNNING) {
            applyRunningReport(report, worker);
            return;
        }
        worker.release(report.task());
        if (worker.acknowledgedTasks().contains(report.task())) {
            return;
        }
        TaskEntry entry = tasks.computeIfAbsent(report.task(), task -> new TaskEntry(task, worker, rackContext.now()));
        entry.markEnded(
                endState(report.phase()),
                report.resumePoint(),
                report.result(),
                worker.id().value());
        refusedSince.put(report.task(), rackContext.now());
        sendStatus(entry.status());
    }

    private static TaskState endState(TaskPhase phase) {
        return switch (phase) {
            case STOPPED -> TaskState.STOPPED;
            case FINISHED -> TaskState.FINISHED;
            case FAILED -> TaskState.FAILED;
            case RUNNING -> throw new IllegalArgumentException("task phase RUNNING is not a final phase");
        };
    }

    private void applyRunningReport(TaskReport report, Worker worker) {
        worker.reserve(report.task(), report.size());
        if (refusedSince.containsKey(report.task())) {
            rackContext.call(worker, new WorkerRequest.Stop(report.task()), rackContext.validUntil(), result -> {});
            return;
        }
        TaskEntry entry = tasks.computeIfAbsent(report.task(), task -> new TaskEntry(task, worker, rackContext.now()));
        entry.markRunning(rackContext.now());
    }

    private void endUnreportedTasks(Worker worker, Set<TaskId> listed, Instant requestedAt) {
        for (TaskId task : List.copyOf(worker.tasks().keySet())) {
            if (listed.contains(task)) {
                continue;
            }
            TaskEntry entry = tasks.get(task);
            if (entry == null) {
                worker.release(task);
            } else if (entry.absenceProvesEnd(requestedAt)) {
                endTask(entry, TaskState.GONE, "its worker no longer runs it");
            }
        }
    }

    private void endTask(TaskEntry entry, TaskState state, String detail) {
        entry.markEnded(state, "", Payload.EMPTY, detail);
        entry.worker().release(entry.task());
        refusedSince.put(entry.task(), rackContext.now());
        sendStatus(entry.status());
    }

    private void refuseStart(TaskId task, String detail) {
        refusedSince.put(task, rackContext.now());
        sendStatus(TaskStatus.of(task, TaskState.NEVER_STARTED, detail));
    }

    private void sendStatus(TaskStatus status) {
        port.sendTaskStatuses(rackContext.rack(), List.of(status));
    }
}
