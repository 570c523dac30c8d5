package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.model.WorkerId;

/** Ranks workers by what became of the runs they had; answers workers that fail, stall or slow down. */
final class WorkerHealth {

    /** Different jobs that must fail in a row: one job that cannot run fails everywhere. */
    private static final int FAILURES_TO_QUARANTINE = 3;

    private static final Duration FIRST_QUARANTINE = Duration.ofSeconds(3);

    private static final Duration LONGEST_QUARANTINE = Duration.ofSeconds(12);

    /** Weight of the newest duration in the average. */
    private static final double SMOOTHING = 0.3;

    private final Map<WorkerId, Record> records = new HashMap<>();

    /** Notes that a worker did what it was asked. */
    void succeeded(WorkerId worker, double slowness) {
        Record entry = record(worker);
        entry.failedJobs.clear();
        entry.quarantine = FIRST_QUARANTINE;
        entry.slowness = entry.slowness * (1 - SMOOTHING) + slowness * SMOOTHING;
    }

    /** Notes a failure; returns whether it puts the worker into quarantine. */
    boolean failed(WorkerId worker, JobId job, Instant now) {
        Record entry = record(worker);
        entry.failedJobs.add(job);
        if (entry.failedJobs.size() < FAILURES_TO_QUARANTINE) {
            return false;
        }
        quarantine(worker, now);
        return true;
    }

    /** Keeps new work away from a worker for a while, longer each time. */
    void quarantine(WorkerId worker, Instant now) {
        Record entry = record(worker);
        entry.failedJobs.clear();
        entry.quarantinedUntil = now.plus(entry.quarantine);
        Duration next = entry.quarantine.multipliedBy(2);
        entry.quarantine = next.compareTo(LONGEST_QUARANTINE) > 0 ? LONGEST_QUARANTINE : next;
    }

    boolean quarantined(WorkerId worker, Instant now) {
        Record entry = records.get(worker);
        return entry != null && now.isBefore(entry.quarantinedUntil);
    }

    /** Returns how many times as long as its peers a worker takes. */
    double slowness(WorkerId worker) {
        Record entry = records.get(worker);
        return entry == null ? 1 : entry.slowness;
    }

    void forget(WorkerId worker) {
        records.remove(worker);
    }

    private Record record(WorkerId worker) {
        return records.computeIfAbsent(worker, id -> new Record());
    }

    private static final class Record {

        private final Set<JobId> failedJobs = new HashSet<>();

        private Duration quarantine = FIRST_QUARANTINE;

        private Instant quarantinedUntil = Instant.MIN;

        private double slowness = 1;
    }
}
