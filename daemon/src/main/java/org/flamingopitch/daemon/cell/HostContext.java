package org.flamingopitch.daemon.cell;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.loop.SingleWriterLoop;
import org.flamingopitch.coordination.loop.TimerQueue;
import org.flamingopitch.platform.OperatorRequestWatcher;
import org.flamingopitch.platform.StoreClient;
import org.flamingopitch.platform.WorkerClient;
import org.flamingopitch.platform.WorkerDirectory;
import org.flamingopitch.scheduler.cell.feature.FeatureGates;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.port.ConfigurationSource;
import org.flamingopitch.scheduler.cell.port.LiveWorkerSource;
import org.flamingopitch.scheduler.cell.port.OwnerMetrics;
import org.flamingopitch.scheduler.cell.port.WorkerAnswer;
import org.flamingopitch.scheduler.cell.port.WorkerListing;
import org.flamingopitch.scheduler.cell.port.WorkerOrder;
import org.flamingopitch.scheduler.cell.port.WorkerTarget;

/**
 * Gives the cell node the time, timers, and calls to the store and the workers. The result of every call is passed to
 * its handler as an event of the single-writer loop.
 */
final class HostContext implements CellContext {

    private final TimeSource clock;

    private final Clock timeOfDay;

    private final StoreClient store;

    private final WorkerClient workers;

    private final WorkerDirectory directory;

    private final Optional<LiveWorkerSource> liveWorkers;

    private final CellMetrics metrics;

    private final FeatureGates gates;

    private final TimerQueue timers = new TimerQueue();

    private SingleWriterLoop<Runnable> loop;

    private Instant now;

    HostContext(
            TimeSource clock,
            Clock timeOfDay,
            StoreClient store,
            WorkerClient workers,
            WorkerDirectory directory,
            Optional<? extends LiveWorkerSource> liveWorkers,
            CellMetrics metrics,
            FeatureGates gates) {
        this.clock = clock;
        this.timeOfDay = timeOfDay;
        this.store = store;
        this.workers = workers;
        this.directory = directory;
        this.liveWorkers = liveWorkers.map(this::inLoop);
        this.metrics = metrics;
        this.gates = gates;
        this.now = clock.now();
    }

    void setLoop(SingleWriterLoop<Runnable> singleWriterLoop) {
        loop = singleWriterLoop;
    }

    /** Sets the time that {@link #now()} returns until the next event to the clock's time. */
    void readClock() {
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
    public void callStore(KeyValueRequest request, Consumer<KeyValueResult> handler) {
        Instant sentAt = clock.now();
        store.call(request, result -> {
            metrics.recordStoreCall(metricLabel(request), metricLabel(result), Duration.between(sentAt, clock.now()));
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
            metrics.recordWorkerCall(metricLabel(order), metricLabel(answer), Duration.between(sentAt, clock.now()));
            loop.publish(() -> handler.accept(answer));
        });
    }

    @Override
    public void listWorkers(Consumer<WorkerListing> handler) {
        directory.list(listing -> loop.publish(() -> handler.accept(listing)));
    }

    @Override
    public Optional<LiveWorkerSource> liveWorkers() {
        return liveWorkers;
    }

    @Override
    public Optional<ConfigurationSource> configurationSource() {
        return Optional.of(OperatorRequestWatcher.configurationSource());
    }

    private LiveWorkerSource inLoop(LiveWorkerSource source) {
        return handler -> source.list(listing -> loop.publish(() -> handler.accept(listing)));
    }

    @Override
    public FeatureGates gates() {
        return gates;
    }

    @Override
    public OwnerMetrics metrics() {
        return metrics;
    }

    /** Returns the metric label for a value of a sealed type; such a type has a fixed number of labels. */
    static String metricLabel(Object value) {
        return value.getClass().getSimpleName();
    }
}
