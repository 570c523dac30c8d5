package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Requests for jobs that are unknown to this owner. Another process may have become the owner and have accepted the job,
 * so they wait until the store has confirmed the ownership after they came.
 */
final class UnconfirmedRequests {

    /** A reachable store answers sooner; the caller's host then asks again or reports the outcome as unknown. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);

    private final List<Waiting> requests = new ArrayList<>();

    void add(JobRequest request, Instant receivedAt, Consumer<JobAnswer> answer) {
        requests.add(new Waiting(request, receivedAt, answer));
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /**
     * Passes on the requests that are confirmed, and answers those that have waited too long.
     *
     * @param confirmedAt when the call was sent by which the store last confirmed the ownership
     * @param handler executes a confirmed request
     */
    void release(Instant confirmedAt, Instant now, Handler handler) {
        for (Waiting waiting : List.copyOf(requests)) {
            if (!confirmedAt.isBefore(waiting.receivedAt())) {
                requests.remove(waiting);
                handler.handle(waiting.request(), waiting.receivedAt(), waiting.answer());
            } else if (!now.isBefore(waiting.receivedAt().plus(MAX_WAIT))) {
                requests.remove(waiting);
                waiting.answer().accept(new JobAnswer.InDoubt());
            }
        }
    }

    /** Tells the callers that this process does not own the cell any more. */
    void close() {
        List<Waiting> waiting = List.copyOf(requests);
        requests.clear();
        waiting.forEach(each -> each.answer().accept(new JobAnswer.NotOwner()));
    }

    /** Executes requests. */
    interface Handler {

        /** Executes a request that came at a given time. */
        void handle(JobRequest request, Instant receivedAt, Consumer<JobAnswer> answer);
    }

    private record Waiting(JobRequest request, Instant receivedAt, Consumer<JobAnswer> answer) {}
}
