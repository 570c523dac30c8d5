package org.flamingopitch.transport.http;

/** Counts the calls of a server that are received and not answered yet. */
final class CallsInProgress {

    private int count;

    private Runnable onIdle;

    synchronized void begin() {
        count++;
    }

    synchronized void end() {
        count--;
        runIfIdle();
    }

    /** Runs an action as soon as no call is in progress, in the thread that completes the last one. */
    synchronized void runWhenIdle(Runnable action) {
        onIdle = action;
        runIfIdle();
    }

    synchronized int count() {
        return count;
    }

    private void runIfIdle() {
        if (count == 0 && onIdle != null) {
            Runnable action = onIdle;
            onIdle = null;
            action.run();
        }
    }
}
