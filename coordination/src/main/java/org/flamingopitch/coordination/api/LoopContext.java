package org.flamingopitch.coordination.api;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;

/** What a coordination part may use inside the single-writer loop; every callback runs in that loop. */
public interface LoopContext {

    /**
     * Returns the time of the event that is being applied.
     *
     * @return the event's time
     */
    Instant now();

    /**
     * Runs an action later.
     *
     * @param delay how long to wait
     * @param action what to run
     */
    void schedule(Duration delay, Runnable action);

    /**
     * Calls the key-value service.
     *
     * @param request the call
     * @param handler receives the result exactly once
     */
    void keyValue(KeyValueRequest request, Consumer<KeyValueResult> handler);
}
