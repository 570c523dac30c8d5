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

/** Starts, stops and follows the tasks of a rack, and says of a task that it has ended only with proof. */
final class TaskKeeper {

    private static final Duration REMEMBER_REFUSALS = Duration.ofMinutes(2);

    private final RackScope scope;

    private final RackPort port;

    private final Map<TaskId, TaskEntry> tasks = new TreeMap<>();

    private final Map<TaskId, Instant> refused = new HashMap<>();

    private int startsInFlight;

    TaskKeeper(RackScope scope, RackPort port) {
        this.scope = scope;
        this.port = port;
    }

    boolean idle() {
        return startsInFlight == 0;
    }

    void start(PeerMessage.StartTask message, KindRule rule) {
        TaskId task = message.task();
        TaskEntry known = tasks.get(task);
        if (known != null) {
            tell(known.status());
            return;
        }
        if (refused.containsKey(task) || scope.refusal().isPresent()) {
            refuse(task, "the rack's owner does not accept it");
            return;
        }
        Optional<Worker> worker = scope.pick(rule.size(), Urgency.DEFERRABLE);
        if (worker.isEmpty()) {
            refuse(task, "no worker of the rack has room");
            return;
        }
        sendStart(message, rule, worker.get());
    }

    void stop(TaskId task, boolean checkpoint) {
        TaskEntry entry = tasks.get(task);
        if (entry == null) {
            query(List.of(task));
            return;
        }
        if (entry.state().ended()) {
            tell(entry.status());
            return;
        }
        if (!scope.active()) {
            return;
        }
        WorkerRequest request = checkpoint ? new WorkerRequest.CheckpointAndStop(task) : new WorkerRequest.Stop(task);
        scope.call(entry.worker(), request, scope.validUntil(), result -> applyStopped(result, entry));
    }

    void query(List<TaskId> queried) {
        if (!scope.active()) {
            return;
        }
        List<TaskStatus> states = new ArrayList<>();
        for (TaskId task : queried) {
            states.add(state(task));
        }
        port.tell(scope.rack(), states);
    }

    void acknowledge(List<TaskId> ended) {
        for (TaskId task : ended) {
            TaskEntry entry = tasks.get(task);
            if (entry != null && entry.state().ended()) {
                refused.put(task, scope.now());
                entry.worker().acknowledged().add(task);
                tasks.remove(task);
            }
        }
    }

    /** Returns the tasks whose leases may be renewed. */
    List<TaskId> renewable(Worker worker) {
        if (!worker.certain()) {
            return List.of();
        }
        return worker.tasks().keySet().stream()
                .filter(task -> !refused.containsKey(task))
                .toList();
    }

    void applyReport(List<TaskReport> reports, Worker worker, Instant sentAt) {
        Set<TaskId> listed = new HashSet<>();
        for (TaskReport report : reports) {
            listed.add(report.task());
            applyTask(report, worker);
        }
        endMissing(worker, listed, sentAt);
    }

    void endLapsed(Worker worker) {
        if (!scope.active() || worker.certain() || !scope.leasesLapsed(worker)) {
            return;
        }
        for (TaskId task : List.copyOf(worker.tasks().keySet())) {
            TaskEntry entry = tasks.get(task);
            if (entry != null && !entry.state().ended()) {
                end(entry, TaskState.GONE, "its worker is silent and its lease has lapsed");
            }
        }
    }

    void evict(Worker worker) {
        List.copyOf(worker.tasks().keySet()).forEach(task -> stop(task, true));
    }

    void forgetOldRefusals() {
        Instant bound = scope.now().minus(REMEMBER_REFUSALS);
        refused.values().removeIf(refusedAt -> refusedAt.isBefore(bound));
    }

    private void sendStart(PeerMessage.StartTask message, KindRule rule, Worker worker) {
        Instant now = scope.now();
        Instant leaseUntil = now.plus(scope.timings().startLease());
        Instant startableUntil = leaseUntil.plus(scope.timings().clockSkew());
        TaskEntry entry = new TaskEntry(message.task(), worker, startableUntil);
        tasks.put(message.task(), entry);
        worker.reserve(message.task(), rule.size());
        worker.extendLeaseHorizon(leaseUntil);
        startsInFlight++;
        WorkerRequest request = new WorkerRequest.StartTask(
                message.task(), message.kind(), rule.size(), message.payload(), message.resumePoint(), leaseUntil);
        Instant sendBefore = now.plus(scope.timings().transit());
        Instant notAfter = scope.validUntil().isBefore(sendBefore) ? scope.validUntil() : sendBefore;
        scope.call(worker, request, notAfter, result -> applyStarted(result, entry));
    }

    private void applyStarted(WorkerResult result, TaskEntry entry) {
        startsInFlight--;
        if (result instanceof WorkerResult.TaskStarted) {
            entry.running(scope.now());
            tell(entry.status());
        } else if (result instanceof WorkerResult.TaskRefused taskRefused) {
            end(entry, TaskState.NEVER_STARTED, taskRefused.detail());
        } else if (result instanceof WorkerResult.NotSent notSent) {
            entry.worker().uncertain();
            end(entry, TaskState.NEVER_STARTED, notSent.failure().detail());
        } else {
            entry.worker().uncertain();
        }
    }

    private void applyStopped(WorkerResult result, TaskEntry entry) {
        if (result instanceof WorkerResult.TaskChanged changed) {
            applyTask(changed.report(), entry.worker());
        } else if (result instanceof WorkerResult.TaskMissing && entry.everSeenRunning()) {
            end(entry, TaskState.GONE, "its worker does not know it");
        }
    }

    private TaskStatus state(TaskId task) {
        TaskEntry entry = tasks.get(task);
        if (entry != null) {
            return entry.status();
        }
        if (!scope.noUnknownTasks()) {
            return TaskStatus.of(task, TaskState.UNDETERMINED, scope.rack().value());
        }
        refused.put(task, scope.now());
        return TaskStatus.of(task, TaskState.GONE, "no worker of the rack runs it");
    }

    private void applyTask(TaskReport report, Worker worker) {
        if (report.phase() == TaskPhase.RUNNING) {
            applyRunning(report, worker);
            return;
        }
        worker.release(report.task());
        if (worker.acknowledged().contains(report.task())) {
            return;
        }
        TaskEntry entry = tasks.computeIfAbsent(report.task(), task -> new TaskEntry(task, worker, scope.now()));
        entry.end(
                endState(report.phase()),
                report.resumePoint(),
                report.result(),
                worker.id().value());
        refused.put(report.task(), scope.now());
        tell(entry.status());
    }

    private static TaskState endState(TaskPhase phase) {
        return switch (phase) {
            case STOPPED -> TaskState.STOPPED;
            case FINISHED -> TaskState.FINISHED;
            case FAILED -> TaskState.FAILED;
            case RUNNING -> throw new IllegalArgumentException("a running task has not ended");
        };
    }

    private void applyRunning(TaskReport report, Worker worker) {
        worker.reserve(report.task(), report.size());
        if (refused.containsKey(report.task())) {
            scope.call(worker, new WorkerRequest.Stop(report.task()), scope.validUntil(), result -> {});
            return;
        }
        TaskEntry entry = tasks.computeIfAbsent(report.task(), task -> new TaskEntry(task, worker, scope.now()));
        entry.running(scope.now());
    }

    private void endMissing(Worker worker, Set<TaskId> listed, Instant sentAt) {
        for (TaskId task : List.copyOf(worker.tasks().keySet())) {
            if (listed.contains(task)) {
                continue;
            }
            TaskEntry entry = tasks.get(task);
            if (entry == null) {
                worker.release(task);
            } else if (entry.absenceProves(sentAt)) {
                end(entry, TaskState.GONE, "its worker no longer runs it");
            }
        }
    }

    private void end(TaskEntry entry, TaskState state, String detail) {
        entry.end(state, "", Payload.EMPTY, detail);
        entry.worker().release(entry.task());
        refused.put(entry.task(), scope.now());
        tell(entry.status());
    }

    private void refuse(TaskId task, String detail) {
        refused.put(task, scope.now());
        tell(TaskStatus.of(task, TaskState.NEVER_STARTED, detail));
    }

    private void tell(TaskStatus status) {
        port.tell(scope.rack(), List.of(status));
    }
}
