package org.flamingopitch.daemon.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.scheduler.node.CallerAnswer;
import org.flamingopitch.scheduler.node.CallerRequest;
import org.flamingopitch.scheduler.node.NodeEvent;
import org.flamingopitch.transport.http.HttpCall;
import org.flamingopitch.transport.http.HttpReply;

/** Passes HTTP calls of callers and operators to the core, and the core's answers back to the waiting calls. */
public final class PendingCalls {

    private final TimeSource clock;

    private final EntryMetrics metrics;

    private final ConcurrentMap<Long, PendingCall> calls = new ConcurrentHashMap<>();

    private final AtomicLong lastCallId = new AtomicLong();

    private volatile Consumer<NodeEvent> core = event -> {};

    /**
     * Creates an empty set of calls.
     *
     * @param clock the clock
     * @param metrics records the answers
     */
    public PendingCalls(TimeSource clock, EntryMetrics metrics) {
        this.clock = clock;
        this.metrics = metrics;
    }

    /**
     * Sets the core to which calls are passed; calls submitted before that are never answered.
     *
     * @param eventHandler receives the events for the core
     */
    public void connect(Consumer<NodeEvent> eventHandler) {
        core = eventHandler;
    }

    /**
     * Passes a call on to the core.
     *
     * @param call the call
     * @param request the request in the call
     * @param formatter turns the core's answer into an HTTP answer
     */
    public void submit(HttpCall call, CallerRequest request, Function<CallerAnswer, HttpReply> formatter) {
        long callId = lastCallId.incrementAndGet();
        calls.put(callId, new PendingCall(call, clock.now(), formatter));
        call.onClosedBeforeAnswer(() -> removeClosed(callId));
        core.accept(new NodeEvent.CallerAsked(callId, request));
    }

    /**
     * Answers a call; does nothing if its connection was closed.
     *
     * @param callId the id of the call
     * @param answer the core's answer
     */
    public void answer(long callId, CallerAnswer answer) {
        PendingCall pending = calls.remove(callId);
        if (pending == null) {
            return;
        }
        HttpReply reply = pending.formatter().apply(answer);
        if (answer instanceof CallerAnswer.RunAnswer run) {
            String outcome = run.outcome().getClass().getSimpleName();
            metrics.recordAnswer(outcome, Duration.between(pending.receivedAt(), clock.now()));
        }
        pending.call().answer(reply);
    }

    private void removeClosed(long callId) {
        if (calls.remove(callId) != null) {
            core.accept(new NodeEvent.CallerLeft(callId));
        }
    }

    private record PendingCall(HttpCall call, Instant receivedAt, Function<CallerAnswer, HttpReply> formatter) {}
}
