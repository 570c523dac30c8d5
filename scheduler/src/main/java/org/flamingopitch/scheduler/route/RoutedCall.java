package org.flamingopitch.scheduler.route;

import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.api.ProcessId;

/**
 * The state of a call that has not been answered.
 *
 * @param <A> the type of the answers
 */
final class RoutedCall<A> {

    private final CallSpec<A> spec;

    private final Instant deadline;

    private final Consumer<A> reply;

    private final Set<PartitionId> avoided = new HashSet<>();

    /** The id of the open attempt, or 0 if none is open. */
    private long attempt;

    private ProcessId peer;

    private PartitionId partition;

    private Runnable localCancellation = () -> {};

    private boolean earlierAttemptMayHaveRun;

    private boolean finished;

    RoutedCall(CallSpec<A> spec, Instant deadline, Consumer<A> reply) {
        this.spec = spec;
        this.deadline = deadline;
        this.reply = reply;
    }

    CallSpec<A> spec() {
        return spec;
    }

    Instant deadline() {
        return deadline;
    }

    Set<PartitionId> avoided() {
        return avoided;
    }

    PartitionId partition() {
        return partition;
    }

    ProcessId peer() {
        return peer;
    }

    long attempt() {
        return attempt;
    }

    boolean finished() {
        return finished;
    }

    boolean mayHaveRun() {
        return earlierAttemptMayHaveRun || attempt != 0;
    }

    boolean earlierAttemptOutcomeUnknown() {
        return earlierAttemptMayHaveRun;
    }

    void startAttempt(long newAttempt, Route route) {
        attempt = newAttempt;
        partition = route.partition();
        peer = route.owner();
    }

    void setLocalCancellation(Runnable cancel) {
        localCancellation = cancel;
    }

    void cancelLocal() {
        localCancellation.run();
    }

    void endAttempt(boolean outcomeUnknown) {
        attempt = 0;
        peer = null;
        earlierAttemptMayHaveRun |= outcomeUnknown;
    }

    void finish(A answer) {
        finished = true;
        attempt = 0;
        reply.accept(answer);
    }
}
