package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingopitch.scheduler.cell.model.WorkerEntry;
import org.flamingopitch.scheduler.cell.port.WorkerTarget;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.WorkerId;

/** What the owner believes of a worker, and what it has reserved there. */
final class WorkerState {

    /** A worker's clock may be 2 % slow, says the platform's protocol. */
    private static final double SLOWEST_CLOCK = 0.98;

    /** Rounding of both clocks. */
    private static final Duration CLOCK_MARGIN = Duration.ofMillis(100);

    private final WorkerId id;

    private final List<Run> runs = new ArrayList<>();

    private final Deque<UnacknowledgedEnd> unacknowledged = new ArrayDeque<>();

    private final FillHistory fillHistory = new FillHistory();

    private WorkerEntry entry;

    private Instant missingSince;

    private long life;

    private boolean reported;

    private boolean unknownRuns;

    private long clockMillis;

    private Instant clockAt;

    private long highestLeaseEnd;

    private Instant lapseAt;

    private boolean lapsed;

    private long seenEnd;

    private long durableEnd;

    private long acknowledgedEnd;

    private Task keptFor;

    private Instant keptUntil = Instant.MIN;

    private Resources reserved = Resources.NONE;

    private long fillCpuMillis;

    private Instant observedAt = Instant.MIN;

    private boolean critical;

    private Instant shownAt = Instant.MIN;

    private Map<String, Double> shownFills = Map.of();

    WorkerState(WorkerId id, Instant lapseAt) {
        this.id = id;
        this.lapseAt = lapseAt;
    }

    WorkerId id() {
        return id;
    }

    WorkerEntry entry() {
        return entry;
    }

    WorkerTarget target() {
        return new WorkerTarget(id, entry.address());
    }

    void register(WorkerEntry newEntry) {
        entry = newEntry;
        missingSince = null;
    }

    void missing(Instant now) {
        if (missingSince == null) {
            missingSince = now;
        }
    }

    boolean missingFor(Duration time, Instant now) {
        return missingSince != null && !now.isBefore(missingSince.plus(time));
    }

    boolean known() {
        return entry != null;
    }

    boolean draining() {
        return entry != null && entry.draining();
    }

    long life() {
        return life;
    }

    boolean reported() {
        return reported;
    }

    boolean unknownRuns() {
        return unknownRuns;
    }

    void setUnknownRuns(boolean value) {
        unknownRuns = value;
    }

    /**
     * Notes a report's life and clock; returns whether another life of the worker began. Until this owner extends the
     * lease itself, a former owner may have extended it by as much as the worker grants.
     */
    boolean noteReport(long newLife, long newClockMillis, Duration maxLease, Instant now) {
        boolean reborn = reported && newLife != life;
        if (!reported || reborn) {
            highestLeaseEnd = newClockMillis + maxLease.toMillis();
        }
        if (reborn) {
            unacknowledged.clear();
            seenEnd = 0;
            durableEnd = 0;
            acknowledgedEnd = 0;
        }
        life = newLife;
        reported = true;
        lapsed = false;
        noteClock(newClockMillis, now);
        return reborn;
    }

    void noteClock(long newClockMillis, Instant now) {
        clockMillis = newClockMillis;
        clockAt = now;
        lapseAt = null;
    }

    /** Returns the end of a lease of the given length from now, on the worker's clock, and remembers it. */
    long leaseEnd(Duration length, Instant now) {
        long end = clockMillis + Duration.between(clockAt, now).toMillis() + length.toMillis();
        highestLeaseEnd = Math.max(highestLeaseEnd, end);
        return end;
    }

    boolean clockKnown() {
        return clockAt != null;
    }

    /** Returns when everything that ran there is certain to have ended, if nothing more is heard of the worker. */
    Instant certainLapse() {
        if (clockAt == null) {
            return lapseAt;
        }
        long left = Math.max(0, highestLeaseEnd - clockMillis);
        return clockAt.plusMillis((long) (left / SLOWEST_CLOCK)).plus(CLOCK_MARGIN);
    }

    boolean lapsed() {
        return lapsed;
    }

    void markLapsed() {
        lapsed = true;
    }

    List<Run> runs() {
        return runs;
    }

    void add(Run run) {
        runs.add(run);
        reserved = reserved.plus(run.task().step().spec().reserved());
        fillCpuMillis += fillCpu(run);
        if (run.task().step().spec().fills()) {
            fillHistory.started(run);
        }
    }

    /** Notes that a run is about to change its pace. */
    void paceChanges(Run run, Instant now) {
        fillHistory.changes(run, now);
    }

    /** Returns the mean share of the worker that each filling image took while the newest figures were taken. */
    Map<String, Double> shownFills(Instant now) {
        if (!now.equals(shownAt)) {
            shownAt = now;
            shownFills = fillHistory.shares(entry.capacity().milliCores(), now);
        }
        return shownFills;
    }

    /** Returns the filling images of which a task started, ended or changed its pace after a moment. */
    Set<String> changedFills(Instant moment) {
        return fillHistory.changedSince(moment);
    }

    /** Tells whether its figures must be followed closely. */
    boolean critical() {
        return critical;
    }

    void setCritical(boolean value) {
        critical = value;
    }

    /** Tells whether a task that fills runs there. */
    boolean filled() {
        return fillCpuMillis > 0;
    }

    /** Returns when its figures were last learned from. */
    Instant observedAt() {
        return observedAt;
    }

    void observed(Instant now) {
        observedAt = now;
    }

    void remove(Run run, Instant now) {
        if (runs.remove(run)) {
            fillHistory.ended(run, now);
            reserved = reserved.minus(run.task().step().spec().reserved());
            fillCpuMillis -= fillCpu(run);
        }
    }

    private static long fillCpu(Run run) {
        return run.task().step().spec().fills()
                ? run.task().step().spec().demand().milliCores()
                : 0;
    }

    Resources free() {
        return entry.capacity().minus(reserved);
    }

    /** Returns what is free when the runs that are being stopped have ended. */
    Resources freeSoon() {
        Resources free = free();
        for (Run run : runs) {
            if (run.phase() == RunPhase.STOPPING) {
                free = free.plus(run.task().step().spec().reserved());
            }
        }
        return free;
    }

    /** Returns the task that the worker is kept free for, or null. */
    Task keptFor(Instant now) {
        return keptFor != null && keptFor.run() == null && now.isBefore(keptUntil) ? keptFor : null;
    }

    Instant keptUntil() {
        return keptUntil;
    }

    void keepFor(Task task, Instant until) {
        keptFor = task;
        keptUntil = until;
    }

    Resources reserved() {
        return reserved;
    }

    long fillCpuMillis() {
        return fillCpuMillis;
    }

    boolean alreadySeen(long number) {
        return number <= seenEnd;
    }

    /** Notes an end that is recorded by a change with the given number. */
    void noteEnd(long number, long recordSequence) {
        seenEnd = number;
        unacknowledged.add(new UnacknowledgedEnd(number, recordSequence));
    }

    void noteDurable(long durableSequence) {
        while (!unacknowledged.isEmpty() && unacknowledged.peek().recordSequence() <= durableSequence) {
            durableEnd = unacknowledged.poll().number();
        }
    }

    long durableEnd() {
        return durableEnd;
    }

    boolean allEndsDurable() {
        return unacknowledged.isEmpty();
    }

    boolean endsToAcknowledge() {
        return durableEnd > acknowledgedEnd;
    }

    void noteAcknowledged(long number) {
        acknowledgedEnd = Math.max(acknowledgedEnd, number);
    }

    private record UnacknowledgedEnd(long number, long recordSequence) {}
}
