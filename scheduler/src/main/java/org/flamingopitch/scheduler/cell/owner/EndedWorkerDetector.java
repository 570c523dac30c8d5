package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.port.LiveWorkerListing;
import org.flamingopitch.scheduler.cell.port.LiveWorkerSource;
import org.flamingopitch.scheduler.model.WorkerId;

/**
 * Detects workers whose process has ended among those that hold runs and do not answer. Silence does not tell: the worker
 * may be cut off from this owner only and run on until its lease ends, and a former owner may extend that lease. The
 * platform is asked only while there are such workers, because each call to it is charged.
 */
final class EndedWorkerDetector {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * How long a worker is silent before the platform is asked. In this time the first poll of a worker has been answered
     * or has failed, so that a calm takeover asks nothing.
     */
    private static final Duration FIRST_LISTING_DELAY = Duration.ofMillis(1_000);

    /** Ticks come after each event, and a check walks all workers. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    /**
     * The time between the requests of two listings. Two of them must agree, since the pages of a listing are not a
     * snapshot, and a worker that has just started may not be listed yet.
     */
    private static final Duration LISTING_INTERVAL = Duration.ofMillis(1_000);

    /**
     * A worker whose entry appeared within this time before the request may be absent from a sound listing, which may be
     * about 0.8 s late. Not longer than {@link #LISTING_INTERVAL}, so that no worker may be absent from two.
     */
    private static final Duration MAX_LISTING_LAG = Duration.ofMillis(1_000);

    /** The duration of a long poll that is in flight and of a call without an answer, with a margin. */
    private static final Duration MAX_DOUBT = Duration.ofMillis(2_500);

    private final CellContext context;

    private final Collection<WorkerState> workers;

    private final Predicate<WorkerState> answering;

    private final Function<WorkerState, Instant> knownSince;

    private final Consumer<WorkerState> prober;

    private final Consumer<WorkerState> endHandler;

    private Instant nextCheckAt = Instant.MIN;

    private Instant nextAt = Instant.MIN;

    private boolean callInFlight;

    /** The last listing while it is unknown whether workers that it lacks have ended since they answered; else null. */
    private DoubtfulListing doubtful;

    private boolean closed;

    /** Since when each silent worker has been seen to be silent. */
    private final Map<WorkerId, Instant> silentSince = new HashMap<>();

    /**
     * The silent workers that the last sound listing did not contain, and no listing since, with the time of the request
     * of that listing.
     */
    private Map<WorkerId, Instant> absentSilent = new HashMap<>();

    /** The young workers that the last sound listing did not contain, and no listing since. */
    private final Set<WorkerId> absentYoung = new HashSet<>();

    /**
     * Creates a detector.
     *
     * @param workers a view of all workers
     * @param answering whether the last call to a worker was answered
     * @param knownSince since when the present life of a registered worker is known to any owner
     * @param prober calls a worker as soon as no call to it is in flight
     * @param endHandler receives each worker whose process has ended
     */
    EndedWorkerDetector(
            CellContext context,
            Collection<WorkerState> workers,
            Predicate<WorkerState> answering,
            Function<WorkerState, Instant> knownSince,
            Consumer<WorkerState> prober,
            Consumer<WorkerState> endHandler) {
        this.context = context;
        this.workers = workers;
        this.answering = answering;
        this.knownSince = knownSince;
        this.prober = prober;
        this.endHandler = endHandler;
    }

    void close() {
        closed = true;
    }

    /** Requests a listing if one is due. Called at regular intervals once the records of former owners are loaded. */
    void tick() {
        Instant now = context.now();
        if (now.isBefore(nextCheckAt)) {
            return;
        }
        nextCheckAt = now.plus(CHECK_INTERVAL);
        if (doubtful != null) {
            settleDoubtfulListing(now);
        }
        List<WorkerId> silent = silentWorkers().stream().map(WorkerState::id).toList();
        silentSince.keySet().retainAll(silent);
        silent.forEach(worker -> silentSince.putIfAbsent(worker, now));
        boolean wanted =
                silentSince.values().stream().anyMatch(since -> !now.isBefore(since.plus(FIRST_LISTING_DELAY)));
        if (wanted && !callInFlight && doubtful == null && !now.isBefore(nextAt)) {
            context.liveWorkers().ifPresent(source -> requestListing(source, now));
        }
    }

    private void requestListing(LiveWorkerSource source, Instant now) {
        callInFlight = true;
        nextAt = now.plus(LISTING_INTERVAL);
        source.list(listing -> {
            callInFlight = false;
            if (!closed) {
                apply(listing, now);
            }
        });
    }

    private void apply(LiveWorkerListing listing, Instant requestedAt) {
        if (listing instanceof LiveWorkerListing.Unavailable unavailable) {
            LOGGER.atWarning().log("event=live_workers_unavailable failure=\"%s\"", unavailable.failure());
            return;
        }
        Set<WorkerId> live = ((LiveWorkerListing.Listed) listing).workers();
        absentSilent.keySet().removeAll(live);
        absentYoung.removeAll(live);
        Instant youngSince = requestedAt.minus(MAX_LISTING_LAG);
        List<WorkerState> absent = answeringWorkers().stream()
                .filter(worker -> !live.contains(worker.id()))
                .toList();
        List<WorkerState> young = absent.stream()
                .filter(worker -> knownSince.apply(worker).isAfter(youngSince))
                .toList();
        List<WorkerState> old =
                absent.stream().filter(worker -> !young.contains(worker)).toList();
        doubtful = new DoubtfulListing(live, requestedAt, context.now(), young, old);
        old.forEach(prober);
        settleDoubtfulListing(context.now());
    }

    /**
     * Rejects a listing that lacks a worker which has answered since the request, unless it is young: it is partial, and
     * so may lack workers that are silent and run on. Applies it once all others that it lacks no longer answer.
     */
    private void settleDoubtfulListing(Instant now) {
        Instant requestedAt = doubtful.requestedAt();
        boolean unsettled = doubtful.old().stream().anyMatch(answering);
        boolean partial = doubtful.old().stream().anyMatch(worker -> worker.answeredSince(requestedAt))
                || unsettled && now.isAfter(doubtful.receivedAt().plus(MAX_DOUBT));
        if (!partial && unsettled) {
            return;
        }
        DoubtfulListing settled = doubtful;
        doubtful = null;
        Instant youngSince = requestedAt.minus(MAX_LISTING_LAG);
        boolean confirmed = answeringWorkers().stream()
                .anyMatch(worker -> settled.live().contains(worker.id())
                        && !knownSince.apply(worker).isAfter(youngSince));
        if (partial || !confirmed) {
            LOGGER.atWarning().log(
                    "event=live_workers_incomplete cause=\"%s\" live_workers=%d absent=%d",
                    partial ? "a worker that answers is absent" : "no worker that answers confirms it",
                    settled.live().size(),
                    settled.old().size());
            return;
        }
        if (!absentYoung.isEmpty()) {
            // A listing that was only late would be followed by one with these workers, so the last one was partial.
            LOGGER.atWarning().log("event=live_workers_doubted late=%d", absentYoung.size());
            absentSilent.clear();
            absentYoung.clear();
        }
        settled.young().forEach(worker -> absentYoung.add(worker.id()));
        endAbsentWorkers(settled.live(), requestedAt);
    }

    private void endAbsentWorkers(Set<WorkerId> live, Instant requestedAt) {
        // If most workers are silent, this owner may be cut off from them, and few are left to show a partial listing.
        boolean mostAnswer = 2 * answeringWorkers().size() >= countListedWorkers();
        Map<WorkerId, Instant> absentBefore = absentSilent;
        absentSilent = new HashMap<>();
        for (WorkerState worker : silentWorkers()) {
            boolean doubted = worker.clockKnown() && !mostAnswer;
            if (doubted || live.contains(worker.id()) || worker.answeredSince(requestedAt)) {
                continue;
            }
            absentSilent.put(worker.id(), requestedAt);
            Instant before = absentBefore.get(worker.id());
            if (before != null && !worker.answeredSince(before)) {
                LOGGER.atWarning().log(
                        "event=worker_gone worker=%s evidence=\"absent from two listings of the platform\""
                                + " live_workers=%d runs=%d",
                        worker.id(), live.size(), worker.runs().size());
                endHandler.accept(worker);
            }
        }
    }

    private List<WorkerState> answeringWorkers() {
        return workers.stream()
                .filter(worker -> worker.registered() && !worker.missingFor(Duration.ZERO, context.now()))
                .filter(answering)
                .toList();
    }

    private long countListedWorkers() {
        return workers.stream()
                .filter(worker -> worker.registered() && !worker.missingFor(Duration.ZERO, context.now()))
                .count();
    }

    private List<WorkerState> silentWorkers() {
        return workers.stream()
                .filter(worker -> !answering.test(worker))
                .filter(worker -> worker.runs().stream()
                        .anyMatch(run ->
                                run.endsWithWorker() || run.phase() != RunPhase.PLANNED && !worker.processEnded()))
                .toList();
    }

    /**
     * A listing that lacks workers whose last call was answered.
     *
     * @param live the workers that it has
     * @param requestedAt when it was requested
     * @param receivedAt when it was received
     * @param young the workers that answered and that a sound listing may lack
     * @param old the other workers that answered and that it lacks
     */
    private record DoubtfulListing(
            Set<WorkerId> live,
            Instant requestedAt,
            Instant receivedAt,
            List<WorkerState> young,
            List<WorkerState> old) {}
}
