package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.port.LiveWorkerListing;
import org.flamingopitch.scheduler.cell.port.LiveWorkerSource;
import org.flamingopitch.scheduler.model.WorkerId;

/**
 * Detects workers whose process has ended among those that hold runs of a former owner and have never answered this one.
 * Silence does not tell: the worker may be cut off from this owner only, and the former owner may extend its lease. The
 * platform is asked only while there are such workers, because each call to it is charged.
 */
final class EndedWorkerDetector {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** After this time the first poll of a worker has been answered or has failed, so that a calm takeover asks nothing. */
    private static final Duration FIRST_LISTING_DELAY = Duration.ofMillis(1_000);

    /**
     * The time between the requests of two listings. Two of them must agree, since the pages of a listing are not a
     * snapshot, and a worker that has just started may not be listed yet.
     */
    private static final Duration LISTING_INTERVAL = Duration.ofMillis(1_000);

    private final CellContext context;

    private final Collection<WorkerState> workers;

    private final Predicate<WorkerState> answering;

    private final Consumer<WorkerState> endHandler;

    /** When the next listing may be requested; null before the first tick. */
    private Instant nextAt;

    private boolean callInFlight;

    private boolean closed;

    /** The silent workers that the last complete listing did not contain. */
    private Set<WorkerId> unlisted = Set.of();

    /**
     * Creates a detector.
     *
     * @param workers a view of all workers
     * @param answering whether the last call to a worker was answered
     * @param endHandler receives each worker whose process has ended
     */
    EndedWorkerDetector(
            CellContext context,
            Collection<WorkerState> workers,
            Predicate<WorkerState> answering,
            Consumer<WorkerState> endHandler) {
        this.context = context;
        this.workers = workers;
        this.answering = answering;
        this.endHandler = endHandler;
    }

    void close() {
        closed = true;
    }

    /** Requests a listing if one is due. Called at regular intervals once the records of former owners are loaded. */
    void tick() {
        Instant now = context.now();
        if (nextAt == null) {
            nextAt = now.plus(FIRST_LISTING_DELAY);
        }
        if (callInFlight || now.isBefore(nextAt) || silentWorkers().isEmpty()) {
            return;
        }
        context.liveWorkers().ifPresent(source -> requestListing(source, now));
    }

    private void requestListing(LiveWorkerSource source, Instant now) {
        callInFlight = true;
        nextAt = now.plus(LISTING_INTERVAL);
        source.list(listing -> {
            callInFlight = false;
            if (!closed) {
                apply(listing);
            }
        });
    }

    private void apply(LiveWorkerListing listing) {
        if (listing instanceof LiveWorkerListing.Unavailable unavailable) {
            LOGGER.atWarning().log("event=live_workers_unavailable failure=\"%s\"", unavailable.failure());
            return;
        }
        Set<WorkerId> live = ((LiveWorkerListing.Listed) listing).workers();
        if (!containsAllThatAnswer(live)) {
            LOGGER.atWarning().log("event=live_workers_incomplete live_workers=%d", live.size());
            return;
        }
        List<WorkerState> absent = silentWorkers().stream()
                .filter(worker -> !live.contains(worker.id()))
                .toList();
        Set<WorkerId> absentBefore = unlisted;
        unlisted = absent.stream().map(WorkerState::id).collect(Collectors.toUnmodifiableSet());
        for (WorkerState worker : absent) {
            if (absentBefore.contains(worker.id())) {
                LOGGER.atWarning().log(
                        "event=worker_gone worker=%s evidence=\"absent from two listings of the platform\""
                                + " live_workers=%d runs=%d",
                        worker.id(), live.size(), worker.runs().size());
                endHandler.accept(worker);
            }
        }
    }

    /** Returns whether a listing has all registered workers that answer this owner; one without them lacks others too. */
    private boolean containsAllThatAnswer(Set<WorkerId> live) {
        return workers.stream()
                .filter(worker -> worker.registered() && !worker.missingFor(Duration.ZERO, context.now()))
                .filter(answering)
                .allMatch(worker -> live.contains(worker.id()));
    }

    private List<WorkerState> silentWorkers() {
        return workers.stream()
                .filter(worker -> !worker.clockKnown())
                .filter(worker -> worker.runs().stream().anyMatch(run -> run.phase() != RunPhase.PLANNED))
                .toList();
    }
}
