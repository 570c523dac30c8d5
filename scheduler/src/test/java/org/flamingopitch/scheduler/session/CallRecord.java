package org.flamingopitch.scheduler.session;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.scheduler.node.CallerAnswer;
import org.flamingopitch.scheduler.node.CallerRequest;

/** A caller's request with the number of its tries and all replies. */
final class CallRecord {

    private final String name;

    private final CallerRequest request;

    private final String payload;

    private final List<Reply> replies = new ArrayList<>();

    private int tries;

    CallRecord(String name, CallerRequest request, String payload) {
        this.name = name;
        this.request = request;
        this.payload = payload;
    }

    String name() {
        return name;
    }

    CallerRequest request() {
        return request;
    }

    String payload() {
        return payload;
    }

    List<Reply> replies() {
        return replies;
    }

    int tries() {
        return tries;
    }

    void countTry() {
        tries++;
    }

    void recordReply(Instant at, CallerAnswer answer) {
        replies.add(new Reply(at, tries, answer));
    }

    /**
     * The end of a try: an answer or a cut connection.
     *
     * @param at when it reached the caller
     * @param tries the number of tries up to this reply
     * @param answer the answer, or null if its connection was cut
     */
    record Reply(Instant at, int tries, CallerAnswer answer) {}
}
