package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.WorkerEntry;
import org.flamingopitch.scheduler.cell.port.WorkerTarget;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.WorkerId;

/**
 * The cell owner's view of one worker: its entry, lease, runs and reserved resources, and which of its run ends are
 * durably recorded.
 */
final class WorkerState {

    /** The platform's protocol allows a worker's clock to be up to 2 % slow. */
    private static final double MIN_CLOCK_RATE = 0.98;

    /** Allows for rounding in both clocks. */
    private static final Duration CLOCK_ROUNDING_MARGIN = Duration.ofMillis(100);

    private final WorkerId id;

    private final List<Run> runs = new ArrayList<>();

    private final ReportedEnds ends = new ReportedEnds();

    private final BestEffortHistory bestEffortHistory = new BestEffortHistory();

    private WorkerEntry entry;

    /** Since when the entry shows the worker as draining; null while it does not. */
    private Instant drainingSince;

    /** When the present {@link WorkerEntry#remainingMillis()} was first seen. */
    private Instant remainingSeenAt;

    /** When the first entry of the worker's present life was listed; null without an entry. */
    private Instant lifeRegisteredAt;

    /** When the worker was first absent from the listing; null while it is listed. */
    private Instant missingSince;

    /** The address at which the worker last answered, or was recorded by a former owner; null if it never did. */
    private String address;

    /** Whether another worker has answered at this worker's address since, so that this one has ended. */
    private boolean replaced;

    /** When the present incarnation of the worker started, in milliseconds since 1970. */
    private long incarnation;

    private boolean hasReported;

    /** Whether the last report listed a run that the owner cannot assign to a task. */
    private boolean hasUnknownRuns;

    /** The worker's clock in milliseconds, as in its last report. */
    private long clockMillis;

    /** When {@link #clockMillis} was received; null before the first report. */
    private Instant clockAt;

    /** The latest end of any lease that the worker may hold, on the worker's clock. */
    private long latestLeaseEnd;

    /** When all leases of a former owner have expired; null once the worker's clock is known. */
    private Instant formerLeaseExpiry;

    private boolean leaseExpired;

    /** Whether the platform no longer runs the worker's process. */
    private boolean processEnded;

    /** The task that the free capacity is reserved for until {@link #reservedUntil}, or null. */
    private Task reservationTask;

    private Instant reservedUntil = Instant.MIN;

    /** The sum of the resources that the runs reserve. */
    private Resources reserved = Resources.NONE;

    /** The processor demand of the best-effort tasks, which reserve none. */
    private long bestEffortMilliCores;

    /** When the interference estimates were last updated from this worker's reports. */
    private Instant interferenceUpdatedAt = Instant.MIN;

    private boolean needsFrequentPolling;

    private Instant bestEffortSharesAt = Instant.MIN;

    private Map<String, Double> cachedBestEffortShares = Map.of();

    WorkerState(WorkerId id, Instant formerLeaseExpiry) {
        this.id = id;
        this.formerLeaseExpiry = formerLeaseExpiry;
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

    String address() {
        return address;
    }

    /** Records that the worker answered at an address. */
    void recordAddress(String newAddress) {
        address = newAddress;
        replaced = false;
    }

    /** Restores the address that a former owner recorded; it holds until the worker answers. */
    void restoreAddress(String recordedAddress) {
        if (!hasReported) {
            address = recordedAddress;
        }
    }

    /** Returns whether the worker answered at or after a moment. */
    boolean answeredSince(Instant moment) {
        return clockAt != null && !clockAt.isBefore(moment);
    }

    boolean replaced() {
        return replaced;
    }

    void markReplaced() {
        replaced = true;
    }

    void register(WorkerEntry newEntry, Instant now) {
        if (!newEntry.draining()) {
            drainingSince = null;
        } else if (drainingSince == null) {
            drainingSince = now;
        }
        if (entry == null || entry.remainingMillis() != newEntry.remainingMillis()) {
            remainingSeenAt = now;
        }
        if (entry == null || entry.incarnation() != newEntry.incarnation()) {
            lifeRegisteredAt = now;
        }
        entry = newEntry;
        missingSince = null;
    }

    /** Returns when the first entry of the worker's present life was listed. */
    Instant lifeRegisteredAt() {
        return lifeRegisteredAt;
    }

    void markMissing(Instant now) {
        if (missingSince == null) {
            missingSince = now;
        }
    }

    boolean missingFor(Duration time, Instant now) {
        return missingSince != null && !now.isBefore(missingSince.plus(time));
    }

    boolean registered() {
        return entry != null;
    }

    boolean draining() {
        return entry != null && entry.draining();
    }

    /** Returns how long the worker is known to have been draining. */
    Duration drainingFor(Instant now) {
        return drainingSince == null ? Duration.ZERO : Duration.between(drainingSince, now);
    }

    /** Returns the time until the draining worker stops, negative if it is over, or empty if it is unknown. */
    Optional<Duration> remainingTime(Instant now) {
        return entry.remainingMillis() <= 0
                ? Optional.empty()
                : Optional.of(Duration.between(now, remainingSeenAt.plusMillis(entry.remainingMillis())));
    }

    long incarnation() {
        return incarnation;
    }

    boolean hasReported() {
        return hasReported;
    }

    /** Returns whether the entry names another life of the worker than its last report; 0 stands for an unknown one. */
    boolean registeredInOtherLife() {
        return hasReported
                && entry != null
                && entry.incarnation() != 0
                && incarnation != 0
                && entry.incarnation() != incarnation;
    }

    boolean hasUnknownRuns() {
        return hasUnknownRuns;
    }

    void setHasUnknownRuns(boolean value) {
        hasUnknownRuns = value;
    }

    /**
     * Records the incarnation and clock of a report. Assumes for a new incarnation, and in the first report, that a
     * former owner has just extended the lease by the maximum that the worker grants.
     *
     * @return whether the worker has restarted since its last report
     */
    boolean recordReport(long newIncarnation, long newClockMillis, Duration maxLease, Instant now) {
        boolean restarted = hasReported && newIncarnation != incarnation;
        if (!hasReported || restarted) {
            latestLeaseEnd = newClockMillis + maxLease.toMillis();
        }
        if (restarted) {
            ends.reset();
        }
        incarnation = newIncarnation;
        hasReported = true;
        leaseExpired = false;
        processEnded = false;
        recordClock(newClockMillis, now);
        return restarted;
    }

    void recordClock(long newClockMillis, Instant now) {
        clockMillis = newClockMillis;
        clockAt = now;
        formerLeaseExpiry = null;
    }

    /**
     * Records that a lease of the given length from now is sent to the worker. The worker's clock is assumed to
     * be as slow as permitted since its last report, so that an order that is executed late grants no longer lease.
     *
     * @return the end of the lease in milliseconds on the worker's clock
     */
    long grantLease(Duration length, Instant now) {
        long elapsedMillis = Duration.between(clockAt, now).toMillis();
        long end = clockMillis + (long) (elapsedMillis * MIN_CLOCK_RATE) + length.toMillis();
        latestLeaseEnd = Math.max(latestLeaseEnd, end);
        return end;
    }

    boolean clockKnown() {
        return clockAt != null;
    }

    /** Returns whether the worker's clock was last received longer ago than the given time. */
    boolean clockOlderThan(Duration age, Instant now) {
        return clockAt != null && now.isAfter(clockAt.plus(age));
    }

    /**
     * Returns the time by which all leases have expired, and so all runs have ended, if the worker sends no more
     * reports.
     */
    Instant latestLeaseExpiry() {
        if (clockAt == null) {
            return formerLeaseExpiry;
        }
        long remainingMillis = Math.max(0, latestLeaseEnd - clockMillis);
        return clockAt.plusMillis((long) (remainingMillis / MIN_CLOCK_RATE)).plus(CLOCK_ROUNDING_MARGIN);
    }

    /** Sets an earlier time by which all leases of a former owner have expired. */
    void limitFormerLease(Instant expiry) {
        if (formerLeaseExpiry != null && expiry.isBefore(formerLeaseExpiry)) {
            formerLeaseExpiry = expiry;
        }
    }

    boolean leaseExpired() {
        return leaseExpired;
    }

    void markLeaseExpired() {
        leaseExpired = true;
    }

    /** Returns whether the worker's process is known to have ended, and no other one has answered under its id since. */
    boolean processEnded() {
        return processEnded;
    }

    void markProcessEnded() {
        processEnded = true;
    }

    List<Run> runs() {
        return runs;
    }

    void add(Run run) {
        runs.add(run);
        reserved = reserved.plus(run.task().step().spec().reserved());
        bestEffortMilliCores += bestEffortDemand(run);
        if (run.task().step().spec().fills()) {
            bestEffortHistory.recordStart(run);
        }
    }

    /** Records the throttle level that a run has had so far; called before the level changes. */
    void recordThrottleChange(Run run, Instant now) {
        bestEffortHistory.recordThrottleChange(run, now);
    }

    /**
     * Returns, by image, the average share of the worker's processor time that best-effort tasks used during the time
     * that the newest measurements cover.
     */
    Map<String, Double> bestEffortShares(Instant now) {
        if (!now.equals(bestEffortSharesAt)) {
            bestEffortSharesAt = now;
            cachedBestEffortShares =
                    bestEffortHistory.averageShares(entry.capacity().milliCores(), now);
        }
        return cachedBestEffortShares;
    }

    /** Returns the images of the best-effort tasks that started, ended or were throttled differently after a moment. */
    Set<String> bestEffortImagesChangedSince(Instant moment) {
        return bestEffortHistory.imagesChangedSince(moment);
    }

    /** Returns whether a latency-critical task on the worker may soon miss its response time target. */
    boolean needsFrequentPolling() {
        return needsFrequentPolling;
    }

    void setNeedsFrequentPolling(boolean value) {
        needsFrequentPolling = value;
    }

    /** Returns whether a best-effort task runs on the worker. */
    boolean hasBestEffortTasks() {
        return bestEffortMilliCores > 0;
    }

    /** Returns when the interference estimates were last updated from this worker's reports. */
    Instant interferenceUpdatedAt() {
        return interferenceUpdatedAt;
    }

    void setInterferenceUpdatedAt(Instant now) {
        interferenceUpdatedAt = now;
    }

    void remove(Run run, Instant now) {
        if (runs.remove(run)) {
            bestEffortHistory.recordEnd(run, now);
            reserved = reserved.minus(run.task().step().spec().reserved());
            bestEffortMilliCores -= bestEffortDemand(run);
        }
    }

    private static long bestEffortDemand(Run run) {
        return run.task().step().spec().fills()
                ? run.task().step().spec().demand().milliCores()
                : 0;
    }

    Resources free() {
        return entry.capacity().minus(reserved);
    }

    /**
     * Returns the free capacity that remains when the runs being stopped have ended.
     *
     * @param unansweredSince a stop that was first sent before this time and is not answered does not count
     */
    Resources freeAfterStops(Instant unansweredSince) {
        Resources free = free();
        for (Run run : runs) {
            boolean expected =
                    run.orderOutcomeKnownAt() != null || run.phaseSince().isAfter(unansweredSince);
            if (run.phase() == RunPhase.STOPPING && expected) {
                free = free.plus(run.task().step().spec().reserved());
            }
        }
        return free;
    }

    /**
     * Returns the task that the worker's free capacity is reserved for, or null. The reservation for a job that has
     * expired ends, unless the task may be started only in isolation: new tasks would keep it from starting for good.
     */
    Task reservedFor(Instant now) {
        boolean needed = reservationTask != null
                && reservationTask.awaitsPlacement()
                && !reservationTask.done()
                && reservationTask.job().open()
                && (reservationTask.needsIsolation() || !reservationTask.job().expired(now));
        return needed && now.isBefore(reservedUntil) ? reservationTask : null;
    }

    /** Returns whether the free capacity is reserved for another task, which the given one would keep out. */
    boolean reservedForOther(Task task, Instant now) {
        Task reservedFor = reservedFor(now);
        return reservedFor != null && reservedFor != task && !fitsBeside(reservedFor, task);
    }

    /**
     * Returns whether a short task leaves room for a long-running one that the worker is reserved for, and neither slows
     * nor endangers it.
     */
    private boolean fitsBeside(Task reservedFor, Task task) {
        StepSpec spec = task.step().spec();
        StepSpec reservedSpec = reservedFor.step().spec();
        boolean harmless = !spec.fills() && !task.suspect() && task.step() != reservedFor.step();
        return reservedSpec.lasting()
                && !reservedFor.needsIsolation()
                && !spec.lasting()
                && harmless
                && reservedSpec.reserved().fitsInto(free().minus(spec.reserved()));
    }

    Instant reservedUntil() {
        return reservedUntil;
    }

    void reserveFor(Task task, Instant until) {
        reservationTask = task;
        reservedUntil = until;
        task.setReservedWorker(this);
    }

    /** Releases the free capacity to all tasks. */
    void endReservation() {
        reservationTask = null;
    }

    Resources reserved() {
        return reserved;
    }

    /**
     * Returns the processor time reserved by runs that the worker has, as far as its last answers show: without those
     * that are planned, or started without an answer or a report since.
     */
    long runningMilliCores() {
        long sum = 0;
        for (Run run : runs) {
            if (run.shownByWorker()) {
                sum += run.task().step().spec().reserved().milliCores();
            }
        }
        return sum;
    }

    long bestEffortMilliCores() {
        return bestEffortMilliCores;
    }

    /** Returns the ends that the worker's present incarnation has reported. */
    ReportedEnds ends() {
        return ends;
    }
}
