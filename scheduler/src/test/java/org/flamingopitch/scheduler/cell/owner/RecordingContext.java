package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.port.WorkerAnswer;
import org.flamingopitch.scheduler.cell.port.WorkerListing;
import org.flamingopitch.scheduler.cell.port.WorkerOrder;
import org.flamingopitch.scheduler.cell.port.WorkerTarget;

/**
 * Records the orders to workers.
 *
 * @param orders receives the orders
 */
record RecordingContext(List<WorkerOrder> orders) implements CellContext {

    @Override
    public Instant now() {
        return OwnerFixtures.NOW;
    }

    @Override
    public long timeOfDayMillis() {
        return OwnerFixtures.NOW.toEpochMilli();
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        throw new AssertionError("no timer is expected");
    }

    @Override
    public void callStore(KeyValueRequest request, Consumer<KeyValueResult> handler) {
        throw new AssertionError("no call to the store is expected");
    }

    @Override
    public void callWorker(WorkerTarget target, WorkerOrder order, Consumer<WorkerAnswer> handler) {
        orders.add(order);
    }

    @Override
    public void listWorkers(Consumer<WorkerListing> handler) {
        throw new AssertionError("no list of workers is expected");
    }
}
