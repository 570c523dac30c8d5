package org.flamingopitch.coordination.api;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;

/**
 * The time, timers and key-value store calls that the single-writer loop provides to a coordination component. Every
 * callback runs in the thread of the loop.
 */
public interface LoopContext {

    /**
     * Returns the time of the event that is being processed.
     *
     * @return the event's time
     */
    Instant now();

    /**
     * Schedules an action to run once after a delay.
     *
     * @param delay the time to wait before the action runs
     * @param action the action
     */
    void schedule(Duration delay, Runnable action);

    /**
     * Sends a request to the key-value store.
     *
     * @param request the request
     * @param handler receives the result exactly once
     */
    void callStore(KeyValueRequest request, Consumer<KeyValueResult> handler);
}
