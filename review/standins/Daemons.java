package review;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Threads that do not keep the program alive. */
final class Daemons {

    private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(4, Daemons::thread);

    private Daemons() {}

    static Thread thread(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        return thread;
    }

    static void repeat(long intervalMillis, Runnable action) {
        TIMER.scheduleAtFixedRate(action, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
    }

    static void after(long delayMillis, Runnable action) {
        TIMER.schedule(action, delayMillis, TimeUnit.MILLISECONDS);
    }
}
