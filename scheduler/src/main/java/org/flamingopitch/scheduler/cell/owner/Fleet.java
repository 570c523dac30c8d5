package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingopitch.scheduler.cell.model.WorkerEntry;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.port.WorkerListing;
import org.flamingopitch.scheduler.model.WorkerId;

/** The workers of a cell: follows their entries, looks at them, and tells when their runs are over for certain. */
final class Fleet {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** A worker that drains must be noticed in less than the platform's bound for it. */
    private static final Duration LIST_INTERVAL = Duration.ofMillis(800);

    private static final Duration LIST_RETRY_DELAY = Duration.ofMillis(300);

    /** Entries that lapsed with the store are back within two seconds, says the platform. */
    private static final Duration MISSING_TIME = Duration.ofSeconds(3);

    private static final Duration FORGET_TIME = Duration.ofSeconds(15);

    /** A run whose order stays unsettled for this long makes its worker's lease run out. */
    private static final Duration UNSETTLED_TIME = Duration.ofSeconds(4);

    private final CellContext context;

    private final long fence;

    private final Duration lease;

    private final Instant formerLapseAt;

    private final RunListener listener;

    private final Map<WorkerId, WorkerState> workers = new LinkedHashMap<>();

    private final Map<WorkerId, WorkerPoll> polls = new LinkedHashMap<>();

    private boolean listed;

    private boolean closed;

    /**
     * Creates the fleet.
     *
     * @param formerLapseAt when runs of a former owner are over on workers that cannot be reached
     */
    Fleet(CellContext context, long fence, Duration lease, Instant formerLapseAt, RunListener listener) {
        this.context = context;
        this.fence = fence;
        this.lease = lease;
        this.formerLapseAt = formerLapseAt;
        this.listener = listener;
    }

    void start() {
        list();
    }

    void close() {
        closed = true;
    }

    boolean listed() {
        return listed;
    }

    Collection<WorkerState> workers() {
        return workers.values();
    }

    /** Returns a worker, also one that has no entry. */
    WorkerState worker(WorkerId id) {
        return workers.computeIfAbsent(id, key -> new WorkerState(key, formerLapseAt));
    }

    boolean answering(WorkerState worker) {
        WorkerPoll poll = polls.get(worker.id());
        return poll != null && poll.answering();
    }

    /** Tells whether a worker may get new work. */
    boolean usable(WorkerState worker, Instant now) {
        return worker.known()
                && !worker.draining()
                && !worker.unknownRuns()
                && !worker.missingFor(MISSING_TIME, now)
                && answering(worker);
    }

    void hurry(WorkerState worker) {
        WorkerPoll poll = polls.get(worker.id());
        if (poll != null) {
            poll.hurry();
        }
    }

    /** Does what is due. */
    void tick(boolean mayExtend) {
        Instant now = context.now();
        for (WorkerState worker : new ArrayList<>(workers.values())) {
            WorkerPoll poll = polls.get(worker.id());
            if (poll != null) {
                poll.pollIfDue(mayExtend && !unsettled(worker, now));
            }
            lapseIfCertain(worker, now);
            forgetIfGone(worker, now);
        }
    }

    private static boolean unsettled(WorkerState worker, Instant now) {
        for (Run run : worker.runs()) {
            boolean waits = run.phase() == RunPhase.STOPPING && run.settledAt() == null;
            if (waits && now.isAfter(run.placedAt().plus(UNSETTLED_TIME)) && run.unanswered() > 2) {
                return true;
            }
        }
        return false;
    }

    private void lapseIfCertain(WorkerState worker, Instant now) {
        if (worker.runs().isEmpty() || now.isBefore(worker.certainLapse())) {
            return;
        }
        for (Run run : List.copyOf(worker.runs())) {
            if (run.phase() != RunPhase.PLANNED) {
                listener.gone(run, "lease over");
            }
        }
        if (!worker.lapsed()) {
            worker.markLapsed();
            LOGGER.atWarning().log("event=worker_lapsed worker=%s", worker.id());
        }
    }

    private void forgetIfGone(WorkerState worker, Instant now) {
        boolean gone = !worker.known() || worker.missingFor(FORGET_TIME, now);
        if (gone && worker.runs().isEmpty()) {
            workers.remove(worker.id());
            polls.remove(worker.id());
        }
    }

    private void list() {
        if (closed) {
            return;
        }
        context.listWorkers(listing -> {
            if (closed) {
                return;
            }
            if (listing instanceof WorkerListing.Listed entries) {
                apply(entries.workers());
                context.schedule(LIST_INTERVAL, this::list);
            } else {
                context.schedule(LIST_RETRY_DELAY, this::list);
            }
        });
    }

    private void apply(List<WorkerEntry> entries) {
        listed = true;
        Instant now = context.now();
        boolean changed = false;
        Set<WorkerId> seen = new HashSet<>();
        for (WorkerEntry entry : entries) {
            seen.add(entry.name());
            changed |= register(entry);
        }
        for (WorkerState worker : workers.values()) {
            if (worker.known() && !seen.contains(worker.id())) {
                worker.missing(now);
            }
        }
        if (changed) {
            listener.workersChanged();
        }
    }

    private boolean register(WorkerEntry entry) {
        WorkerState worker = worker(entry.name());
        WorkerEntry before = worker.entry();
        worker.register(entry);
        WorkerPoll poll =
                polls.computeIfAbsent(worker.id(), id -> new WorkerPoll(context, worker, fence, lease, listener));
        boolean changed = before == null
                || before.draining() != entry.draining()
                || before.life() != entry.life()
                || !before.capacity().equals(entry.capacity());
        if (changed) {
            LOGGER.atInfo().log(
                    "event=worker_entry worker=%s life=%d draining=%s service=%s",
                    entry.name(), entry.life(), entry.draining(), entry.service());
        }
        if (worker.reported() && worker.life() != entry.life()) {
            poll.hurry();
        }
        return changed;
    }
}
