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

/** Matches the core's answers to the HTTP calls that wait for them. */
public final class CallerRegistry {

    private final TimeSource clock;

    private final EntryMetrics metrics;

    private final ConcurrentMap<Long, Waiting> waiting = new ConcurrentHashMap<>();

    private final AtomicLong lastCaller = new AtomicLong();

    private volatile Consumer<NodeEvent> events = event -> {};

    /**
     * Creates a registry.
     *
     * @param clock the clock
     * @param metrics counts the answers
     */
    public CallerRegistry(TimeSource clock, EntryMetrics metrics) {
        this.clock = clock;
        this.metrics = metrics;
    }

    /**
     * Connects the core.
     *
     * @param newEvents receives the events
     */
    public void connect(Consumer<NodeEvent> newEvents) {
        events = newEvents;
    }

    /**
     * Passes a call on to the core.
     *
     * @param call the call
     * @param request what it asks
     * @param formatter turns the core's answer into an HTTP answer
     */
    public void ask(HttpCall call, CallerRequest request, Function<CallerAnswer, HttpReply> formatter) {
        long caller = lastCaller.incrementAndGet();
        waiting.put(caller, new Waiting(call, clock.now(), formatter));
        call.onClosed(() -> closed(caller));
        events.accept(new NodeEvent.CallerAsked(caller, request));
    }

    /**
     * Answers a call.
     *
     * @param caller names the call
     * @param answer the core's answer
     */
    public void answer(long caller, CallerAnswer answer) {
        Waiting call = waiting.remove(caller);
        if (call == null) {
            return;
        }
        HttpReply reply = call.formatter().apply(answer);
        if (answer instanceof CallerAnswer.RunAnswer run) {
            String outcome = run.outcome().getClass().getSimpleName();
            metrics.answered(outcome, Duration.between(call.since(), clock.now()));
        }
        call.call().answer(reply);
    }

    private void closed(long caller) {
        if (waiting.remove(caller) != null) {
            events.accept(new NodeEvent.CallerLeft(caller));
        }
    }

    private record Waiting(HttpCall call, Instant since, Function<CallerAnswer, HttpReply> formatter) {}
}
