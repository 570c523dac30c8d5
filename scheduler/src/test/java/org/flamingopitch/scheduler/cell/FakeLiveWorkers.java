package org.flamingopitch.scheduler.cell;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.scheduler.cell.port.LiveWorkerListing;
import org.flamingopitch.scheduler.cell.port.LiveWorkerSource;
import org.flamingopitch.scheduler.model.WorkerId;

/** The platform's simulated listing of the workers that it runs; switched off until a test switches it on. */
final class FakeLiveWorkers {

    private boolean offered;

    private boolean failing;

    private Duration latency = CellSession.CALL_LATENCY;

    /** Changes the true listing. */
    private UnaryOperator<Set<WorkerId>> distortion = UnaryOperator.identity();

    private long lagMillis;

    /** The workers that ran from each time on, in milliseconds since the start of the session; kept while there is a lag. */
    private final TreeMap<Long, Set<WorkerId>> history = new TreeMap<>();

    private final List<Long> callMillis = new ArrayList<>();

    boolean offered() {
        return offered;
    }

    void setOffered(boolean isOffered) {
        offered = isOffered;
    }

    /** Sets whether each call fails, as after an incomplete or unreadable answer. */
    void setFailing(boolean isFailing) {
        failing = isFailing;
    }

    /** Sets how long it takes from the request of a listing to its answer. */
    void setLatency(Duration newLatency) {
        latency = newLatency;
    }

    /** Sets what the listings contain instead of the workers that run. */
    void setDistortion(UnaryOperator<Set<WorkerId>> change) {
        distortion = change;
    }

    /** Sets how old the listings are: a worker that has just started is not in them, and one that just ended still is. */
    void setLag(Duration lag) {
        lagMillis = lag.toMillis();
    }

    /** Takes note of the workers that run. */
    void advance(Collection<FakeWorker> workers, long clockMillis) {
        if (offered) {
            Set<WorkerId> live = live(workers);
            if (history.isEmpty() || !history.lastEntry().getValue().equals(live)) {
                history.put(clockMillis, live);
            }
        }
    }

    /** Returns when the listing was requested, in milliseconds since the start of the session. */
    List<Long> callMillis() {
        return callMillis;
    }

    /**
     * Returns the source that a host uses.
     *
     * @param workers the workers that are not lost for good
     * @param clockMillis the time in milliseconds since the start of the session
     * @param answers runs an action at the host after a delay
     */
    Optional<LiveWorkerSource> source(
            Collection<FakeWorker> workers, long clockMillis, BiConsumer<Duration, Runnable> answers) {
        if (!offered) {
            return Optional.empty();
        }
        return Optional.of(handler -> {
            callMillis.add(clockMillis);
            LiveWorkerListing listing = list(workers, clockMillis);
            answers.accept(latency, () -> handler.accept(listing));
        });
    }

    private LiveWorkerListing list(Collection<FakeWorker> workers, long clockMillis) {
        if (failing) {
            return new LiveWorkerListing.Unavailable(new Failure("live workers", "platform", "status 503"));
        }
        Map.Entry<Long, Set<WorkerId>> past = lagMillis == 0 ? null : history.floorEntry(clockMillis - lagMillis);
        return new LiveWorkerListing.Listed(distortion.apply(past == null ? live(workers) : past.getValue()));
    }

    private static Set<WorkerId> live(Collection<FakeWorker> workers) {
        return workers.stream()
                .filter(worker -> !worker.crashed())
                .map(worker -> new WorkerId(worker.name()))
                .collect(Collectors.toSet());
    }
}
