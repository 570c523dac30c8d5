package org.flamingopitch.scheduler.session;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.RequestId;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.TaskId;
import org.flamingopitch.scheduler.worker.TaskPhase;
import org.flamingopitch.scheduler.worker.TaskReport;
import org.flamingopitch.scheduler.worker.UsageReport;
import org.flamingopitch.scheduler.worker.WorkerRequest;
import org.flamingopitch.scheduler.worker.WorkerResult;
import org.flamingopitch.standins.worker.TaskKey;
import org.flamingopitch.standins.worker.TaskOrder;
import org.flamingopitch.standins.worker.TaskSize;
import org.flamingopitch.standins.worker.TaskView;
import org.flamingopitch.standins.worker.WorkerModel;
import org.flamingopitch.standins.worker.WorkerView;

/** Adapts the model of the stand-in for a worker to the requests and results of the scheduler's port. */
final class SimWorker {

    private final String name;

    private final WorkerModel model;

    private boolean dead;

    private Instant diedAt = Instant.MAX;

    private Instant unreachableUntil = Instant.EPOCH;

    SimWorker(String name) {
        this.name = name;
        this.model = new WorkerModel(name, Duration.ofSeconds(1));
    }

    String name() {
        return name;
    }

    WorkerModel model() {
        return model;
    }

    boolean dead() {
        return dead;
    }

    Instant diedAt() {
        return diedAt;
    }

    void kill(Instant now) {
        model.advance(now);
        if (!dead) {
            dead = true;
            diedAt = now;
        }
    }

    boolean unreachable(Instant now) {
        return now.isBefore(unreachableUntil);
    }

    void disconnect(Instant until) {
        unreachableUntil = until;
    }

    /** Executes a call and passes on how long it takes and how to complete it. */
    void call(Instant now, WorkerRequest request, BiConsumer<Duration, WorkerCompletion> answer) {
        if (request instanceof WorkerRequest.Execute execute) {
            byte[] payload = execute.payload().bytes();
            String id = execute.id().value();
            Duration duration = model.beginRequest(now, id, execute.kind().value(), payload);
            answer.accept(
                    duration, end -> new WorkerResult.Executed(Payload.ofText(model.endRequest(end, id, payload))));
            return;
        }
        WorkerResult result = executeOrder(now, request);
        answer.accept(Duration.ZERO, end -> result);
    }

    private WorkerResult executeOrder(Instant now, WorkerRequest request) {
        if (request instanceof WorkerRequest.StartTask start) {
            TaskOrder order = new TaskOrder(
                    key(start.task()),
                    start.kind().value(),
                    new TaskSize(
                            start.size().milliCores(),
                            start.size().memoryMegabytes(),
                            start.size().accelerators()),
                    start.payload().bytes(),
                    start.resumePoint(),
                    start.leaseUntil());
            return model.start(now, order)
                    .<WorkerResult>map(WorkerResult.TaskRefused::new)
                    .orElse(new WorkerResult.TaskStarted());
        }
        if (request instanceof WorkerRequest.CheckpointAndStop stop) {
            return changed(model.stop(now, key(stop.task()), true));
        }
        if (request instanceof WorkerRequest.Stop stop) {
            return changed(model.stop(now, key(stop.task()), false));
        }
        if (request instanceof WorkerRequest.Throttle throttle) {
            return changed(model.throttle(now, key(throttle.task()), throttle.percent()));
        }
        WorkerRequest.Report report = (WorkerRequest.Report) request;
        return reported(model.report(now, keys(report.renewed()), report.leaseUntil(), keys(report.acknowledged()), 2));
    }

    private static WorkerResult reported(WorkerView view) {
        List<TaskReport> tasks = view.tasks().stream().map(SimWorker::report).toList();
        List<RequestId> requests = view.requests().stream().map(RequestId::new).toList();
        UsageReport usage = new UsageReport(
                resources(view.usage().used()), Duration.ofMillis(view.usage().ageMillis()));
        return new WorkerResult.Reported(tasks, requests, view.connections(), usage);
    }

    private static WorkerResult changed(Optional<TaskView> view) {
        return view.<WorkerResult>map(found -> new WorkerResult.TaskChanged(report(found)))
                .orElse(new WorkerResult.TaskMissing());
    }

    private static TaskReport report(TaskView view) {
        return new TaskReport(
                new TaskId(new IdempotencyKey(view.task().job()), view.task().attempt()),
                new KindName(view.kind()),
                resources(view.size()),
                TaskPhase.valueOf(view.phase()),
                view.resumePoint(),
                Payload.of(view.result()));
    }

    private static Resources resources(TaskSize size) {
        return new Resources(size.milliCores(), size.memoryMegabytes(), size.accelerators());
    }

    private static List<TaskKey> keys(List<TaskId> tasks) {
        return tasks.stream().map(SimWorker::key).toList();
    }

    private static TaskKey key(TaskId task) {
        return new TaskKey(task.job().value(), task.attempt());
    }

    /** Completes a call at the time at which its work ends. */
    @FunctionalInterface
    interface WorkerCompletion {

        /** Ends the work and returns the answer. */
        WorkerResult complete(Instant end);
    }
}
