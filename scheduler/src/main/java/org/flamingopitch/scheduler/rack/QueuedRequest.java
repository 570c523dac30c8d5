package org.flamingopitch.scheduler.rack;

import java.time.Instant;
import java.util.function.Consumer;
import org.flamingopitch.scheduler.model.KindRule;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Payload;

/** An urgent request at its rack's owner. */
final class QueuedRequest {

    private final KindRule rule;

    private final Payload payload;

    private final Instant deadline;

    private final Consumer<Outcome> reply;

    private int triesLeft;

    private boolean cancelled;

    QueuedRequest(KindRule rule, Payload payload, Instant deadline, int tries, Consumer<Outcome> reply) {
        this.rule = rule;
        this.payload = payload;
        this.deadline = deadline;
        this.triesLeft = tries;
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

    boolean takeTry() {
        triesLeft--;
        return triesLeft >= 0;
    }

    void answer(Outcome outcome) {
        reply.accept(outcome);
    }
}
