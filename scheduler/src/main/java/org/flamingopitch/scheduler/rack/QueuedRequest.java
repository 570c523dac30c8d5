package org.flamingopitch.scheduler.rack;

import java.time.Instant;
import java.util.function.Consumer;
import org.flamingopitch.scheduler.model.KindRule;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Payload;

/** An urgent request in the queue of its rack's owner. */
final class QueuedRequest {

    private final KindRule rule;

    private final Payload payload;

    private final Instant deadline;

    private final Consumer<Outcome> reply;

    private int attemptsLeft;

    private boolean cancelled;

    QueuedRequest(KindRule rule, Payload payload, Instant deadline, int maxAttempts, Consumer<Outcome> reply) {
        this.rule = rule;
        this.payload = payload;
        this.deadline = deadline;
        this.attemptsLeft = maxAttempts;
        this.reply = reply;
    }

    KindRule rule() {
        return rule;
    }

    Payload payload() {
        return payload;
    }

    Instant deadline() {
        return deadline;
    }

    boolean cancelled() {
        return cancelled;
    }

    void cancel() {
        cancelled = true;
    }

    /** Uses up one attempt to send the request; returns false if none was left. */
    boolean useAttempt() {
        attemptsLeft--;
        return attemptsLeft >= 0;
    }

    void complete(Outcome outcome) {
        reply.accept(outcome);
    }
}
