package org.flamingopitch.scheduler.session;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.scheduler.node.CallerAnswer;
import org.flamingopitch.scheduler.node.CallerRequest;

/** A caller's request with all tries and answers. */
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

    void tried() {
        tries++;
    }

    void answered(Instant at, CallerAnswer answer) {
        replies.add(new Reply(at, tries, answer));
    }

    /**
     * What a caller got.
     *
     * @param at when
     * @param tries how many tries it had made by then
     * @param answer the answer, or null if its connection was cut
     */
    record Reply(Instant at, int tries, CallerAnswer answer) {}
}
