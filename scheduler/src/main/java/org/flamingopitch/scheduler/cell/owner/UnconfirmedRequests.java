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

    private final Election election;

    private final List<Waiting> requests = new ArrayList<>();

    UnconfirmedRequests(Election election) {
        this.election = election;
    }

    /** Answers that there is no such job, now or when the store has confirmed the ownership since the request came. */
    void denyJob(JobRequest request, Instant receivedAt, Consumer<JobAnswer> answer) {
        if (confirmedSince(receivedAt)) {
            answer.accept(new JobAnswer.Unknown());
        } else {
            requests.add(new Waiting(request, receivedAt, answer));
            election.confirmSoon();
        }
    }

    private boolean confirmedSince(Instant receivedAt) {
        return !election.confirmedAt().isBefore(receivedAt);
    }

    /**
     * Passes on the requests that are confirmed, answers those that have waited too long, and asks for the confirmation
     * of the others.
     *
     * @param handler executes a confirmed request, whose job may be known by now
     */
    void release(Instant now, Handler handler) {
        for (Waiting waiting : List.copyOf(requests)) {
            if (confirmedSince(waiting.receivedAt())) {
                requests.remove(waiting);
                handler.handle(waiting.request(), waiting.receivedAt(), waiting.answer());
            } else if (!now.isBefore(waiting.receivedAt().plus(MAX_WAIT))) {
                requests.remove(waiting);
                waiting.answer().accept(new JobAnswer.InDoubt());
            }
        }
        if (!requests.isEmpty()) {
            election.confirmSoon();
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
