package org.flamingopitch.scheduler.session;

import java.time.Duration;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.scheduler.node.NodeEffect;
import org.flamingopitch.scheduler.node.NodeEvent;
import org.flamingopitch.scheduler.worker.TaskReport;
import org.flamingopitch.scheduler.worker.WorkerRequest;
import org.flamingopitch.scheduler.worker.WorkerResult;

/** The way between entry hosts and workers, with lost calls and answers. */
final class SessionWorkers {

    private static final Duration WORKER_TIMEOUT = Duration.ofMillis(1_000);

    private final Session session;

    private final SessionTimeline time;

    private final SessionLog log;

    private final Sabotage sabotage;

    private WorkerResult lastExecuted;

    SessionWorkers(Session session, SessionTimeline time, SessionLog log, Sabotage sabotage) {
        this.session = session;
        this.time = time;
        this.log = log;
        this.sabotage = sabotage;
    }

    void killWorker(String worker) {
        if (!worker.isEmpty()) {
            session.workers().get(worker).kill(time.now());
            log.note(time.now(), "killed " + worker);
        }
    }

    void silenceWorker(String worker, Duration duration) {
        if (!worker.isEmpty()) {
            session.workers().get(worker).silence(time.now().plus(duration));
            log.note(time.now(), "silenced " + worker);
        }
    }

    void callWorker(SimProcess process, NodeEffect.CallWorker call) {
        String name = call.worker().name().value();
        SimWorker worker = session.workers().get(name);
        WorkerAnswer answer = new WorkerAnswer(process, call.call());
        if (!time.now().isBefore(call.notAfter())) {
            answer.arriveSoon(new WorkerResult.NotSent(Session.failure("worker.write", name, "too late to send")));
            return;
        }
        if (worker.dead()) {
            answer.arriveSoon(new WorkerResult.NotSent(Session.failure("worker.connect", name, "connection refused")));
            return;
        }
        Duration timeout = call.request() instanceof WorkerRequest.Execute
                ? Duration.between(time.now(), call.notAfter()).plus(WORKER_TIMEOUT)
                : WORKER_TIMEOUT;
        WorkerResult lost = lost(Session.failure("worker.wait", name, "no answer in time"));
        time.schedule(timeout, () -> answer.arrive(lost));
        Runnable onLoss = () -> answer.arriveSoon(lost);
        time.step(
                StepType.WORKER_CALL,
                session.index(process),
                name,
                Duration.ofMillis(1),
                onLoss,
                () -> workerReceives(process, worker, call.request(), answer));
    }

    private void workerReceives(SimProcess process, SimWorker worker, WorkerRequest request, WorkerAnswer answer) {
        if (worker.dead() || worker.silent(time.now())) {
            return;
        }
        worker.call(
                time.now(),
                request,
                (duration, completion) ->
                        time.schedule(duration, () -> workerCompletes(process, worker, completion, answer)));
    }

    private void workerCompletes(
            SimProcess process, SimWorker worker, SimWorker.WorkerCompletion completion, WorkerAnswer answer) {
        if (worker.dead()) {
            return;
        }
        WorkerResult result = withoutCheckpoint(crossed(completion.complete(time.now())));
        if (worker.silent(time.now())) {
            return;
        }
        WorkerResult lost = lost(Session.failure("worker.read", worker.name(), "connection closed"));
        if (sabotage == Sabotage.HIDDEN_REPORTS && result instanceof WorkerResult.Reported) {
            return;
        }
        time.step(
                StepType.WORKER_ANSWER,
                session.index(process),
                worker.name(),
                Duration.ofMillis(1),
                () -> answer.arrive(lost),
                () -> answer.arrive(result));
    }

    private WorkerResult lost(Failure failure) {
        return sabotage.hidesLostAnswers() ? new WorkerResult.NotSent(failure) : new WorkerResult.Lost(failure);
    }

    private WorkerResult crossed(WorkerResult result) {
        if (sabotage != Sabotage.CROSSED_ANSWERS || !(result instanceof WorkerResult.Executed)) {
            return result;
        }
        WorkerResult other = lastExecuted == null ? result : lastExecuted;
        lastExecuted = result;
        return other;
    }

    private WorkerResult withoutCheckpoint(WorkerResult result) {
        if (sabotage != Sabotage.FORGOTTEN_CHECKPOINT || !(result instanceof WorkerResult.TaskChanged changed)) {
            return result;
        }
        TaskReport report = changed.report();
        return new WorkerResult.TaskChanged(
                new TaskReport(report.task(), report.kind(), report.size(), report.phase(), "", report.result()));
    }

    private final class WorkerAnswer {

        private final SimProcess process;

        private final long call;

        private WorkerAnswer(SimProcess process, long call) {
            this.process = process;
            this.call = call;
        }

        private void arrive(WorkerResult result) {
            session.deliver(process, new NodeEvent.WorkerAnswered(call, result));
        }

        private void arriveSoon(WorkerResult result) {
            time.schedule(Duration.ofMillis(1), () -> arrive(result));
        }
    }
}
