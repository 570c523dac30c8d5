package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.loop.TimerQueue;

/** A clock that the test advances, and a store whose calls the test answers one by one. */
final class ScriptedStore implements LoopContext {

    private static final Duration TICK = Duration.ofMillis(5);

    private final TimerQueue timers = new TimerQueue();

    private final List<Call> calls = new ArrayList<>();

    private final List<KeyValueRequest> sent = new ArrayList<>();

    private Instant now = Instant.parse("2026-01-01T00:00:00Z");

    @Override
    public Instant now() {
        return now;
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        timers.add(now.plus(delay), action);
    }

    @Override
    public void callStore(KeyValueRequest request, Consumer<KeyValueResult> handler) {
        calls.add(new Call(request, handler));
        sent.add(request);
    }

    /** Advances the clock and runs the timers that become due. */
    void advance(Duration time) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(TICK);
            timers.runDue(now);
        }
    }

    /** Returns the unanswered calls of a type. */
    <T extends KeyValueRequest> List<T> pending(Class<T> type) {
        return ofType(calls.stream().map(Call::request), type);
    }

    /** Returns all calls of a type, whether they were answered or not. */
    <T extends KeyValueRequest> List<T> sent(Class<T> type) {
        return ofType(sent.stream(), type);
    }

    private static <T extends KeyValueRequest> List<T> ofType(Stream<KeyValueRequest> requests, Class<T> type) {
        return requests.filter(type::isInstance).map(type::cast).toList();
    }

    /** Answers the oldest unanswered call of a type. */
    void answer(Class<? extends KeyValueRequest> type, KeyValueResult result) {
        Call call = calls.stream()
                .filter(each -> type.isInstance(each.request()))
                .findFirst()
                .orElseThrow(() -> new AssertionError("no " + type.getSimpleName() + " call waits"));
        calls.remove(call);
        call.handler().accept(result);
    }

    /** Lets the oldest unanswered call of a type fail. */
    void fail(Class<? extends KeyValueRequest> type) {
        answer(type, new KeyValueResult.Failed(new Failure("store", "fake", "connection reset")));
    }

    private record Call(KeyValueRequest request, Consumer<KeyValueResult> handler) {}
}
