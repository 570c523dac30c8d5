package org.flamingopitch.daemon.entry;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.flamingopitch.coordination.supervisor.Service;
import org.flamingopitch.scheduler.node.NodeEvent;

/** Sends a tick event to the core at a fixed interval, so that its timers run while no other events arrive. */
final class Ticker implements Service {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final long TICK_INTERVAL_MILLIS = 20;

    private final Consumer<NodeEvent> core;

    private ScheduledExecutorService executor;

    Ticker(Consumer<NodeEvent> core) {
        this.core = core;
    }

    @Override
    public String name() {
        return "ticker";
    }

    @Override
    public void start() {
        executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "ticker");
            thread.setDaemon(true);
            return thread;
        });
        executor.scheduleWithFixedDelay(this::tick, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sends a tick; an exception would end the schedule. */
    private void tick() {
        try {
            core.accept(new NodeEvent.Tick());
        } catch (RuntimeException e) {
            LOGGER.atSevere().withCause(e).log("event=tick_failed");
        }
    }

    @Override
    public void stop() {
        if (executor != null) {
            executor.shutdownNow();
            executor = null;
        }
    }
}
