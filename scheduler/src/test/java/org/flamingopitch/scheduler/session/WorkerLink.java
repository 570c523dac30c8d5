package org.flamingopitch.scheduler.session;

import java.time.Duration;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.scheduler.node.NodeEffect;
import org.flamingopitch.scheduler.node.NodeEvent;
import org.flamingopitch.scheduler.worker.TaskReport;
import org.flamingopitch.scheduler.worker.WorkerRequest;
import org.flamingopitch.scheduler.worker.WorkerResult;

/** The connections between the entry hosts and the simulated workers, with lost calls and answers. */
final class WorkerLink {

    private static final Duration WORKER_CALL_TIMEOUT = Duration.ofMillis(1_000);

    private final Session session;

    private final SessionTimeline time;

    private final SessionLog log;

    private final InjectedDefect defect;

    private WorkerResult previousAnswer;

    WorkerLink(Session session, SessionTimeline time, SessionLog log, InjectedDefect defect) {
        this.session = session;
        this.time = time;
        this.log = log;
        this.defect = defect;
    }

    void killWorker(String worker) {
        if (!worker.isEmpty()) {
            session.workers().get(worker).kill(time.now());
            log.recordNote(time.now(), "killed " + worker);
        }
    }

    void disconnectWorker(String worker, Duration duration) {
        if (!worker.isEmpty()) {
            session.workers().get(worker).disconnect(time.now().plus(duration));
            log.recordNote(time.now(), "silenced " + worker);
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
                ? Duration.between(time.now(), call.notAfter()).plus(WORKER_CALL_TIMEOUT)
                : WORKER_CALL_TIMEOUT;
        WorkerResult lost = lostAnswer(Session.failure("worker.wait", name, "no answer in time"));
        time.schedule(timeout, () -> answer.arrive(lost));
        Runnable onLoss = () -> answer.arriveSoon(lost);
        time.scheduleDelivery(
                StepType.WORKER_CALL,
                session.indexOf(process),
                name,
                Duration.ofMillis(1),
                onLoss,
                () -> deliverToWorker(process, worker, call.request(), answer));
    }

    private void deliverToWorker(SimProcess process, SimWorker worker, WorkerRequest request, WorkerAnswer answer) {
        if (worker.dead() || worker.unreachable(time.now())) {
            return;
        }
        worker.call(
                time.now(),
                request,
                (duration, completion) ->
                        time.schedule(duration, () -> completeCall(process, worker, completion, answer)));
    }

    private void completeCall(
            SimProcess process, SimWorker worker, SimWorker.WorkerCompletion completion, WorkerAnswer answer) {
        if (worker.dead()) {
            return;
        }
        WorkerResult result = withoutCheckpoint(swappedAnswer(completion.complete(time.now())));
        if (worker.unreachable(time.now())) {
            return;
        }
        WorkerResult lost = lostAnswer(Session.failure("worker.read", worker.name(), "connection closed"));
        if (defect == InjectedDefect.WORKER_REPORTS_UNANSWERED && result instanceof WorkerResult.Reported) {
            return;
        }
        time.scheduleDelivery(
                StepType.WORKER_ANSWER,
                session.indexOf(process),
                worker.name(),
                Duration.ofMillis(1),
                () -> answer.arrive(lost),
                () -> answer.arrive(result));
    }

    private WorkerResult lostAnswer(Failure failure) {
        return defect.reportsLostAnswersAsNotSent()
                ? new WorkerResult.NotSent(failure)
                : new WorkerResult.Lost(failure);
    }

    private WorkerResult swappedAnswer(WorkerResult result) {
        if (defect != InjectedDefect.ANSWERS_SWAPPED || !(result instanceof WorkerResult.Executed)) {
            return result;
        }
        WorkerResult other = previousAnswer == null ? result : previousAnswer;
        previousAnswer = result;
        return other;
    }

    private WorkerResult withoutCheckpoint(WorkerResult result) {
        if (defect != InjectedDefect.CHECKPOINT_DROPPED || !(result instanceof WorkerResult.TaskChanged changed)) {
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
