package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.flamingopitch.scheduler.cell.disruption.Evacuations;
import org.flamingopitch.scheduler.cell.model.WorkerEntry;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.port.WorkerListing;
import org.flamingopitch.scheduler.model.WorkerId;

/**
 * Registry of the workers of a cell: lists their entries, polls them, and reports runs as terminated when the lease of
 * their worker has expired or its process has ended.
 */
final class WorkerRegistry {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Shorter than the platform's limit for noticing that a worker drains. */
    private static final Duration LIST_INTERVAL = Duration.ofMillis(800);

    private static final Duration LIST_RETRY_DELAY = Duration.ofMillis(300);

    /** The platform restores entries that were lost with the store within 2 s. */
    private static final Duration MISSING_GRACE_PERIOD = Duration.ofSeconds(3);

    private static final Duration REMOVAL_DELAY = Duration.ofSeconds(15);

    /**
     * How long a worker may leave the stop of a run unanswered before its lease is no longer extended; the expiry of the
     * lease then ends the run, and all others on the worker.
     */
    private static final Duration MAX_UNCONFIRMED_STOP = Duration.ofSeconds(4);

    private final CellContext context;

    private final long fencingToken;

    private final Duration leaseDuration;

    private Instant formerLeaseExpiry;

    private final Evacuations evacuations;

    private final RunListener listener;

    private final EndedWorkerDetector endedWorkerDetector;

    private final Map<WorkerId, WorkerState> workers = new LinkedHashMap<>();

    private final Map<WorkerId, WorkerPoller> pollers = new LinkedHashMap<>();

    /** The worker that last answered at an address. */
    private final Map<String, WorkerState> addressHolders = new HashMap<>();

    /** When the entries of the workers were first listed; null before. */
    private Instant firstListedAt;

    private boolean closed;

    /**
     * Creates a registry without workers.
     *
     * @param formerLeaseExpiry when all leases of a former owner have expired on workers that cannot be reached
     * @param evacuations the data centres whose workers get no new work
     */
    WorkerRegistry(
            CellContext context,
            long fencingToken,
            Duration leaseDuration,
            Instant formerLeaseExpiry,
            Evacuations evacuations,
            RunListener listener) {
        this.context = context;
        this.fencingToken = fencingToken;
        this.leaseDuration = leaseDuration;
        this.formerLeaseExpiry = formerLeaseExpiry;
        this.evacuations = evacuations;
        this.listener = listener;
        this.endedWorkerDetector = new EndedWorkerDetector(
                context, workers.values(), this::answering, this::knownSince, this::probe, this::endRunsOfEndedWorker);
    }

    void start() {
        listWorkers();
    }

    void close() {
        closed = true;
        endedWorkerDetector.close();
    }

    /** Returns whether the workers have been listed at least once. */
    boolean listed() {
        return firstListedAt != null;
    }

    Collection<WorkerState> workers() {
        return workers.values();
    }

    /** Sets an earlier time by which all leases of a former owner have expired. */
    void limitFormerLeases(Instant expiry) {
        if (expiry.isBefore(formerLeaseExpiry)) {
            formerLeaseExpiry = expiry;
            workers.values().forEach(worker -> worker.limitFormerLease(expiry));
        }
    }

    /** Returns the state of a worker; creates it without an entry if the worker is unknown. */
    WorkerState worker(WorkerId id) {
        return workers.computeIfAbsent(id, key -> new WorkerState(key, formerLeaseExpiry));
    }

    /** Returns whether the last call to a worker was answered. */
    boolean answering(WorkerState worker) {
        WorkerPoller poller = pollers.get(worker.id());
        return poller != null && poller.answering();
    }

    /**
     * Returns since when the present life of a registered worker is known. Former owners may have known those that were
     * listed first for any time.
     */
    private Instant knownSince(WorkerState worker) {
        Instant registeredAt = worker.lifeRegisteredAt();
        return registeredAt.equals(firstListedAt) ? Instant.MIN : registeredAt;
    }

    /** Returns whether new work may be placed on a worker. */
    boolean usable(WorkerState worker, Instant now) {
        return obstacle(worker, now) == PlacementObstacle.NONE;
    }

    /** Returns what keeps all new work off a worker, or {@link PlacementObstacle#NONE}. */
    PlacementObstacle obstacle(WorkerState worker, Instant now) {
        if (!worker.registered() || worker.missingFor(MISSING_GRACE_PERIOD, now)) {
            return PlacementObstacle.MISSING;
        }
        if (worker.replaced()) {
            return PlacementObstacle.REPLACED;
        }
        if (!accepting(worker)) {
            return worker.draining() ? PlacementObstacle.DRAINING : PlacementObstacle.EVACUATED;
        }
        if (!answering(worker)) {
            return PlacementObstacle.NOT_ANSWERING;
        }
        if (worker.registeredInOtherLife()) {
            // The labels and the capacity are known from the entry, the address that answers from the report.
            return PlacementObstacle.RESTARTED;
        }
        return worker.hasUnknownRuns() ? PlacementObstacle.UNKNOWN_RUNS : PlacementObstacle.NONE;
    }

    /** Returns whether a worker is registered, does not drain, and is in no data centre under evacuation. */
    boolean accepting(WorkerState worker) {
        return worker.registered() && !worker.draining() && !evacuated(worker);
    }

    /** Returns whether a worker is in a data centre under evacuation. */
    boolean evacuated(WorkerState worker) {
        return worker.registered() && evacuations.covers(worker.entry().dataCentre());
    }

    /** Applies a change of the evacuated data centres: ends the reservations of their workers. */
    void applyEvacuations() {
        for (WorkerState worker : workers.values()) {
            if (evacuated(worker)) {
                worker.endReservation();
            }
        }
        logEvacuations();
    }

    private void logEvacuations() {
        if (listed()) {
            evacuations.logStarted(dataCentre -> workers.values().stream()
                    .filter(worker ->
                            worker.registered() && worker.entry().dataCentre().equals(dataCentre))
                    .count());
        }
    }

    private void probe(WorkerState worker) {
        WorkerPoller poller = pollers.get(worker.id());
        if (poller != null) {
            poller.probe();
        }
    }

    /** Polls a worker as soon as no call to it is in flight. */
    void pollSoon(WorkerState worker) {
        WorkerPoller poller = pollers.get(worker.id());
        if (poller != null) {
            poller.pollSoon();
        }
    }

    /**
     * Polls the workers that are due, ends runs whose lease has expired, and removes workers that are no longer listed.
     *
     * @param mayExtend whether this process may extend leases
     */
    void tick(boolean mayExtend) {
        Instant now = context.now();
        for (WorkerState worker : new ArrayList<>(workers.values())) {
            WorkerPoller poller = pollers.get(worker.id());
            if (poller != null) {
                poller.pollIfDue(mayExtend && !hasUnconfirmedStop(worker, now));
            }
            endRunsIfLeaseExpired(worker, now);
            removeIfMissing(worker, now);
        }
        endedWorkerDetector.tick();
    }

    /** Returns whether the stop of a run has been unanswered for so long that its worker's lease must expire. */
    static boolean hasUnconfirmedStop(WorkerState worker, Instant now) {
        for (Run run : worker.runs()) {
            boolean unconfirmed = run.phase() == RunPhase.STOPPING && run.orderOutcomeKnownAt() == null;
            if (unconfirmed && now.isAfter(run.phaseSince().plus(MAX_UNCONFIRMED_STOP)) && run.unansweredOrders() > 2) {
                return true;
            }
        }
        return false;
    }

    private void endRunsIfLeaseExpired(WorkerState worker, Instant now) {
        if (worker.runs().isEmpty() || now.isBefore(worker.latestLeaseExpiry())) {
            return;
        }
        List<Run> ended = endRuns(worker, WorkerRegistry::started, "worker lease expired");
        if (!ended.isEmpty()) {
            recordEndedRuns(worker, ended);
        }
        if (!worker.leaseExpired()) {
            worker.markLeaseExpired();
            LOGGER.atWarning().log("event=worker_lapsed worker=%s", worker.id());
        }
    }

    /**
     * Ends the runs of a worker whose process has ended, whatever lease it holds. A run whose start may still be carried
     * out, by a process that follows under the worker's id, ends with the lease.
     */
    private void endRunsOfEndedWorker(WorkerState worker) {
        worker.markProcessEnded();
        recordEndedRuns(worker, endRuns(worker, Run::endsWithWorker, "worker gone"));
    }

    /**
     * Passes on which runs have ended with their worker. One that has answered this owner and whose process has ended has
     * crashed under them; when one ended that only a former owner knew is not known.
     */
    private void recordEndedRuns(WorkerState worker, List<Run> ended) {
        if (worker.processEnded() && worker.hasReported()) {
            listener.onWorkerCrashed(worker, ended);
        } else {
            listener.onWorkerLapsed(worker, ended);
        }
    }

    private List<Run> endRuns(WorkerState worker, Predicate<Run> which, String cause) {
        List<Run> ended = worker.runs().stream().filter(which).toList();
        ended.forEach(run -> listener.onRunTerminated(run, cause));
        return ended;
    }

    private static boolean started(Run run) {
        return run.phase() != RunPhase.PLANNED;
    }

    private void removeIfMissing(WorkerState worker, Instant now) {
        boolean missing = !worker.registered() || worker.missingFor(REMOVAL_DELAY, now);
        if (missing && worker.runs().isEmpty()) {
            workers.remove(worker.id());
            pollers.remove(worker.id());
            addressHolders.remove(worker.address(), worker);
        }
    }

    /**
     * Ends the runs of the former workers at a worker's address. An address belongs to one process at a time, so a worker
     * that answers a call sent after the last answer of another worker there proves that the other one has ended.
     *
     * @param sentAt when the call was sent that the worker answered
     */
    private void endFormerWorkers(WorkerState worker, Instant sentAt) {
        if (addressHolders.get(worker.address()) == worker) {
            return;
        }
        boolean allEnded = true;
        for (WorkerState former : List.copyOf(workers.values())) {
            if (former == worker || former.replaced() || !worker.address().equals(former.address())) {
                continue;
            }
            if (former.answeredSince(sentAt)) {
                allEnded = false;
            } else {
                endReplaced(former, worker);
            }
        }
        if (allEnded) {
            addressHolders.put(worker.address(), worker);
        }
    }

    private void endReplaced(WorkerState former, WorkerState successor) {
        former.markReplaced();
        LOGGER.atWarning().log(
                "event=worker_replaced worker=%s by=%s address=%s", former.id(), successor.id(), successor.address());
        listener.onWorkerCrashed(former, endRuns(former, WorkerRegistry::started, "worker replaced"));
    }

    private void listWorkers() {
        if (closed) {
            return;
        }
        context.listWorkers(listing -> {
            if (closed) {
                return;
            }
            if (listing instanceof WorkerListing.Listed entries) {
                applyEntries(entries.workers());
                context.schedule(LIST_INTERVAL, this::listWorkers);
            } else {
                context.schedule(LIST_RETRY_DELAY, this::listWorkers);
            }
        });
    }

    private void applyEntries(List<WorkerEntry> entries) {
        Instant now = context.now();
        if (firstListedAt == null) {
            firstListedAt = now;
        }
        boolean changed = false;
        Set<WorkerId> listedIds = new HashSet<>();
        for (WorkerEntry entry : entries) {
            listedIds.add(entry.name());
            changed |= register(entry);
        }
        for (WorkerState worker : workers.values()) {
            if (worker.registered() && !listedIds.contains(worker.id())) {
                worker.markMissing(now);
            }
        }
        logEvacuations();
        if (changed) {
            listener.onWorkersChanged();
        }
    }

    private boolean register(WorkerEntry entry) {
        WorkerState worker = worker(entry.name());
        WorkerEntry previous = worker.entry();
        worker.register(entry, context.now());
        WorkerPoller poller = pollers.computeIfAbsent(
                worker.id(),
                id -> new WorkerPoller(context, worker, fencingToken, leaseDuration, listener, this::endFormerWorkers));
        boolean changed = previous == null
                || previous.draining() != entry.draining()
                || previous.incarnation() != entry.incarnation()
                || !previous.dataCentre().equals(entry.dataCentre())
                || !previous.capacity().equals(entry.capacity());
        if (changed) {
            LOGGER.atInfo().log(
                    "event=worker_entry worker=%s life=%d draining=%s service=%s data_centre=%s labels=%s",
                    entry.name(),
                    entry.incarnation(),
                    entry.draining(),
                    entry.service(),
                    entry.dataCentre(),
                    entry.labels().stream().sorted().collect(Collectors.joining(",")));
        }
        if (worker.registeredInOtherLife()) {
            poller.probe();
        }
        return changed;
    }
}
