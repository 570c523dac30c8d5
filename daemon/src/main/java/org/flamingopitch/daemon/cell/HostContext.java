package org.flamingopitch.daemon.cell;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.loop.SingleWriterLoop;
import org.flamingopitch.coordination.loop.TimerQueue;
import org.flamingopitch.platform.StoreClient;
import org.flamingopitch.platform.WorkerClient;
import org.flamingopitch.platform.WorkerDirectory;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.port.WorkerAnswer;
import org.flamingopitch.scheduler.cell.port.WorkerListing;
import org.flamingopitch.scheduler.cell.port.WorkerOrder;
import org.flamingopitch.scheduler.cell.port.WorkerTarget;

/** Gives the core time, timers and calls; every answer comes back as an event of the loop. */
final class HostContext implements CellContext {

    private final TimeSource clock;

    private final Clock timeOfDay;

    private final StoreClient store;

    private final WorkerClient workers;

    private final WorkerDirectory directory;

    private final CellMetrics metrics;

    private final TimerQueue timers = new TimerQueue();

    private SingleWriterLoop<Runnable> loop;

    private Instant now;

    HostContext(
            TimeSource clock,
            Clock timeOfDay,
            StoreClient store,
            WorkerClient workers,
            WorkerDirectory directory,
            CellMetrics metrics) {
        this.clock = clock;
        this.timeOfDay = timeOfDay;
        this.store = store;
        this.workers = workers;
        this.directory = directory;
        this.metrics = metrics;
        this.now = clock.now();
    }

    void attach(SingleWriterLoop<Runnable> singleWriterLoop) {
        loop = singleWriterLoop;
    }

    /** Reads the clock for the next event. */
    void advance() {
        now = clock.now();
    }

    void runTimers() {
        timers.runDue(now);
    }

    void publish(Runnable event) {
        loop.publish(event);
    }

    @Override
    public Instant now() {
        return now;
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        timers.add(now.plus(delay), action);
    }

    @Override
    public void keyValue(KeyValueRequest request, Consumer<KeyValueResult> handler) {
        Instant sentAt = clock.now();
        store.call(request, result -> {
            metrics.storeCalled(kind(request), kind(result), Duration.between(sentAt, clock.now()));
            loop.publish(() -> handler.accept(result));
        });
    }

    @Override
    public long timeOfDayMillis() {
        return timeOfDay.millis();
    }

    @Override
    public void callWorker(WorkerTarget target, WorkerOrder order, Consumer<WorkerAnswer> handler) {
        Instant sentAt = clock.now();
        workers.call(target, order, answer -> {
            metrics.workerCalled(kind(order), kind(answer), Duration.between(sentAt, clock.now()));
            loop.publish(() -> handler.accept(answer));
        });
    }

    @Override
    public void listWorkers(Consumer<WorkerListing> handler) {
        directory.list(listing -> loop.publish(() -> handler.accept(listing)));
    }

    /** Returns the label of a request or an answer: their kinds are sealed, so that labels are bounded. */
    static String kind(Object value) {
        return value.getClass().getSimpleName();
    }
}
