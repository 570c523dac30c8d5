package org.flamingopitch.scheduler.rack;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;
import org.flamingopitch.scheduler.model.KindRule;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.Reason;
import org.flamingopitch.scheduler.model.RequestId;
import org.flamingopitch.scheduler.model.Urgency;
import org.flamingopitch.scheduler.worker.WorkerRequest;
import org.flamingopitch.scheduler.worker.WorkerResult;

/** Queues urgent requests of a rack and sends each to a worker with a free slot. */
final class RequestDispatcher {

    private static final String STEP = "rack.execute";

    private static final int TRIES_IN_RACK = 3;

    private final RackScope scope;

    private final Deque<QueuedRequest> queue = new ArrayDeque<>();

    private long dispatches;

    private int inFlight;

    RequestDispatcher(RackScope scope) {
        this.scope = scope;
    }

    Runnable execute(KindRule rule, Payload payload, Instant deadline, Consumer<Outcome> reply) {
        Optional<Reason> refusal = scope.refusal();
        if (refusal.isPresent()) {
            reply.accept(notRun(refusal.get()));
            return () -> {};
        }
        if (queue.size() >= scope.configuration().rules().urgentQueuePerRack()) {
            reply.accept(notRun(Reason.QUEUE_FULL));
            return () -> {};
        }
        QueuedRequest request = new QueuedRequest(rule, payload, deadline, TRIES_IN_RACK, reply);
        queue.add(request);
        serveQueue();
        return request::cancel;
    }

    int waiting() {
        return queue.size();
    }

    boolean idle() {
        return inFlight == 0 && queue.isEmpty();
    }

    void refuseAll(Reason reason) {
        while (!queue.isEmpty()) {
            queue.poll().answer(notRun(reason));
        }
    }

    void serveQueue() {
        int waiting = queue.size();
        for (int i = 0; i < waiting; i++) {
            QueuedRequest request = queue.poll();
            if (request == null) {
                return;
            }
            Optional<Reason> refusal = refusal(request);
            if (refusal.isPresent()) {
                request.answer(notRun(refusal.get()));
            } else {
                serve(request);
            }
        }
    }

    private Optional<Reason> refusal(QueuedRequest request) {
        if (request.cancelled()) {
            return Optional.of(Reason.CANCELLED);
        }
        if (!scope.now().isBefore(request.deadline())) {
            return Optional.of(Reason.NO_CAPACITY);
        }
        return scope.refusal();
    }

    private void serve(QueuedRequest request) {
        Optional<Worker> worker = scope.pick(request.rule().size(), Urgency.URGENT);
        if (worker.isEmpty()) {
            queue.add(request);
            return;
        }
        if (!request.takeTry()) {
            request.answer(notRun(Reason.WORKER_UNREACHABLE));
            return;
        }
        dispatch(request, worker.get());
    }

    private void dispatch(QueuedRequest request, Worker worker) {
        dispatches++;
        RequestId id = new RequestId(scope.context().self() + "/" + scope.rack() + "/" + dispatches);
        worker.reserve(id, request.rule().size());
        inFlight++;
        Instant validUntil = scope.validUntil();
        Instant notAfter = validUntil.isBefore(request.deadline()) ? validUntil : request.deadline();
        WorkerRequest call = new WorkerRequest.Execute(id, request.rule().name(), request.payload());
        scope.call(worker, call, notAfter, result -> applyExecuted(result, request, worker, id));
    }

    private void applyExecuted(WorkerResult result, QueuedRequest request, Worker worker, RequestId id) {
        inFlight--;
        if (result instanceof WorkerResult.Executed executed) {
            worker.release(id);
            request.answer(new Outcome.Done(executed.answer()));
        } else if (result instanceof WorkerResult.ExecutionFailed failed) {
            worker.release(id);
            request.answer(Outcome.unknown(STEP, worker.id().value(), failed.detail()));
        } else if (result instanceof WorkerResult.NotSent) {
            worker.release(id);
            worker.uncertain();
            queue.addFirst(request);
        } else {
            markInDoubt(worker, id);
            request.answer(Outcome.unknown(STEP, worker.id().value(), describe(result)));
        }
        serveQueue();
    }

    private void markInDoubt(Worker worker, RequestId id) {
        worker.uncertain();
        Reservation reservation = worker.requests().get(id);
        if (reservation != null) {
            reservation.markInDoubt(scope.now());
        }
    }

    private Outcome notRun(Reason reason) {
        return Outcome.notRun(reason, STEP, scope.rack().value());
    }

    private static String describe(WorkerResult result) {
        if (result instanceof WorkerResult.Lost lost) {
            return lost.failure().detail();
        }
        return "unexpected answer " + result.getClass().getSimpleName();
    }
}
