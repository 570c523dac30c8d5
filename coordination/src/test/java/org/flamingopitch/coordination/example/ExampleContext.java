package org.flamingopitch.coordination.example;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.loop.TimerQueue;
import org.flamingopitch.coordination.ownership.FakeStore;

/** The loop context that an embedding program provides: the time, timers and calls to a key-value store. */
final class ExampleContext implements LoopContext {

    private final FakeStore store;

    private final TimerQueue timers = new TimerQueue();

    ExampleContext(FakeStore store) {
        this.store = store;
    }

    /** Advances the time in steps and runs the due timers, as the loop of an embedding program does. */
    void advance(Duration duration) {
        Duration step = Duration.ofMillis(50);
        for (Duration elapsed = Duration.ZERO; elapsed.compareTo(duration) < 0; elapsed = elapsed.plus(step)) {
            store.advance(step);
            timers.runDue(now());
        }
    }

    @Override
    public Instant now() {
        return store.now();
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        timers.add(now().plus(delay), action);
    }

    @Override
    public void callStore(KeyValueRequest request, Consumer<KeyValueResult> handler) {
        store.call(request, result -> schedule(Duration.ofMillis(2), () -> handler.accept(result)));
    }
}
