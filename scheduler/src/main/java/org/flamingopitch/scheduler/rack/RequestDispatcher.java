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

/** Queues the urgent requests of a rack and sends each to a worker with free capacity. */
final class RequestDispatcher {

    private static final String STEP = "rack.execute";

    private static final int MAX_SEND_ATTEMPTS = 3;

    private final RackContext rackContext;

    private final Deque<QueuedRequest> queue = new ArrayDeque<>();

    private long lastDispatchNumber;

    private int requestsInFlight;

    RequestDispatcher(RackContext rackContext) {
        this.rackContext = rackContext;
    }

    Runnable execute(KindRule rule, Payload payload, Instant deadline, Consumer<Outcome> reply) {
        Optional<Reason> refusal = rackContext.refusalReason();
        if (refusal.isPresent()) {
            reply.accept(notRun(refusal.get()));
            return () -> {};
        }
        if (queue.size() >= rackContext.configuration().rules().urgentQueuePerRack()) {
            reply.accept(notRun(Reason.QUEUE_FULL));
            return () -> {};
        }
        QueuedRequest request = new QueuedRequest(rule, payload, deadline, MAX_SEND_ATTEMPTS, reply);
        queue.add(request);
        processQueue();
        return request::cancel;
    }

    int queueLength() {
        return queue.size();
    }

    boolean idle() {
        return requestsInFlight == 0 && queue.isEmpty();
    }

    void refuseAll(Reason reason) {
        while (!queue.isEmpty()) {
            queue.poll().complete(notRun(reason));
        }
    }

    /** Dispatches each queued request once; one that no worker can take now stays in the queue. */
    void processQueue() {
        int queued = queue.size();
        for (int i = 0; i < queued; i++) {
            QueuedRequest request = queue.poll();
            if (request == null) {
                return;
            }
            Optional<Reason> refusal = refusalReason(request);
            if (refusal.isPresent()) {
                request.complete(notRun(refusal.get()));
            } else {
                dispatchOrRequeue(request);
            }
        }
    }

    private Optional<Reason> refusalReason(QueuedRequest request) {
        if (request.cancelled()) {
            return Optional.of(Reason.CANCELLED);
        }
        if (!rackContext.now().isBefore(request.deadline())) {
            return Optional.of(Reason.NO_CAPACITY);
        }
        return rackContext.refusalReason();
    }

    private void dispatchOrRequeue(QueuedRequest request) {
        Optional<Worker> worker = rackContext.chooseWorker(request.rule().size(), Urgency.URGENT);
        if (worker.isEmpty()) {
            queue.add(request);
            return;
        }
        if (!request.useAttempt()) {
            request.complete(notRun(Reason.WORKER_UNREACHABLE));
            return;
        }
        dispatch(request, worker.get());
    }

    private void dispatch(QueuedRequest request, Worker worker) {
        lastDispatchNumber++;
        RequestId id =
                new RequestId(rackContext.nodeContext().self() + "/" + rackContext.rack() + "/" + lastDispatchNumber);
        worker.reserve(id, request.rule().size());
        requestsInFlight++;
        Instant validUntil = rackContext.validUntil();
        Instant notAfter = validUntil.isBefore(request.deadline()) ? validUntil : request.deadline();
        WorkerRequest call = new WorkerRequest.Execute(id, request.rule().name(), request.payload());
        rackContext.call(worker, call, notAfter, result -> applyResult(result, request, worker, id));
    }

    private void applyResult(WorkerResult result, QueuedRequest request, Worker worker, RequestId id) {
        requestsInFlight--;
        if (result instanceof WorkerResult.Executed executed) {
            worker.release(id);
            request.complete(new Outcome.Done(executed.answer()));
        } else if (result instanceof WorkerResult.ExecutionFailed failed) {
            worker.release(id);
            request.complete(Outcome.unknown(STEP, worker.id().value(), failed.detail()));
        } else if (result instanceof WorkerResult.NotSent) {
            worker.release(id);
            worker.invalidateReport();
            queue.addFirst(request);
        } else {
            markOutcomeUnknown(worker, id);
            request.complete(Outcome.unknown(STEP, worker.id().value(), describeFailure(result)));
        }
        processQueue();
    }

    private void markOutcomeUnknown(Worker worker, RequestId id) {
        worker.invalidateReport();
        Reservation reservation = worker.requests().get(id);
        if (reservation != null) {
            reservation.markOutcomeUnknown(rackContext.now());
        }
    }

    private Outcome notRun(Reason reason) {
        return Outcome.notRun(reason, STEP, rackContext.rack().value());
    }

    private static String describeFailure(WorkerResult result) {
        if (result instanceof WorkerResult.Lost lost) {
            return lost.failure().detail();
        }
        return "unexpected answer " + result.getClass().getSimpleName();
    }
}
