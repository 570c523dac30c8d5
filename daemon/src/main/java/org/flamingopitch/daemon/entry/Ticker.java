package org.flamingopitch.daemon.entry;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.flamingopitch.coordination.supervisor.Service;
import org.flamingopitch.scheduler.node.NodeEvent;

/** Tells the core at short intervals that time has passed. */
final class Ticker implements Service {

    private static final long INTERVAL_MILLIS = 20;

    private final Consumer<NodeEvent> events;

    private ScheduledExecutorService timer;

    Ticker(Consumer<NodeEvent> events) {
        this.events = events;
    }

    @Override
    public String name() {
        return "ticker";
    }

    @Override
    public void start() {
        timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "ticker");
            thread.setDaemon(true);
            return thread;
        });
        timer.scheduleWithFixedDelay(
                () -> events.accept(new NodeEvent.Tick()), INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        if (timer != null) {
            timer.shutdownNow();
            timer = null;
        }
    }
}
