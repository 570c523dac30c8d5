package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.flamingopitch.scheduler.cell.feature.FeatureGate;
import org.flamingopitch.scheduler.cell.feature.FeatureGates;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.model.WorkerId;

/**
 * Tracks failures and run times of the workers; quarantines workers that fail or stall, and finds slow ones. A short run
 * that was placed during a quarantine is a trial: its success ends the quarantine, its failure begins another one. A
 * failure closes the worker for long-running tasks only if the run was placed after it was last closed for them.
 */
final class WorkerHealth {

    /**
     * Number of different jobs that fail on a worker, without a success between them, before it is quarantined. More
     * than one job must fail, since a faulty job fails on every worker.
     */
    private static final int FAILED_JOBS_TO_QUARANTINE = 3;

    private static final Duration INITIAL_QUARANTINE = Duration.ofSeconds(3);

    private static final Duration MAX_QUARANTINE = Duration.ofSeconds(12);

    /** Weight of the latest run in the moving average. */
    private static final double SLOWDOWN_SMOOTHING_WEIGHT = 0.3;

    private final Map<WorkerId, WorkerHistory> histories = new HashMap<>();

    private final boolean quarantines;

    WorkerHealth() {
        this(FeatureGates.ALL_ON);
    }

    WorkerHealth(FeatureGates gates) {
        this.quarantines = gates.on(FeatureGate.QUARANTINE);
    }

    /**
     * Records a run that succeeded.
     *
     * @param slowdown the duration of the run divided by the expected duration
     */
    void recordSuccess(WorkerId worker, double slowdown, Instant placedAt) {
        WorkerHistory history = historyOf(worker);
        if (history.isTrial(placedAt)) {
            history.quarantinedUntil = Instant.MIN;
            history.quarantinedForAllUntil = Instant.MIN;
        }
        history.failedJobs.clear();
        history.nextQuarantine = INITIAL_QUARANTINE;
        history.slowdown = history.slowdown * (1 - SLOWDOWN_SMOOTHING_WEIGHT) + slowdown * SLOWDOWN_SMOOTHING_WEIGHT;
    }

    /**
     * Records a run that failed.
     *
     * @param placedAt when the run was placed, {@link Instant#MIN} if that is not known
     * @return whether the worker is quarantined because of it
     */
    boolean recordFailure(WorkerId worker, JobId job, Instant placedAt, Instant now) {
        WorkerHistory history = historyOf(worker);
        history.failedJobs.add(job);
        boolean trialFailed = history.isTrial(placedAt) && now.isBefore(history.quarantinedUntil);
        if (!trialFailed && history.failedJobs.size() < FAILED_JOBS_TO_QUARANTINE) {
            return false;
        }
        Instant closedUntil = history.quarantinedForAllUntil;
        quarantine(worker, now);
        if (placedAt.isBefore(closedUntil)) {
            // Faulty tasks that are started as a last resort would else keep it closed for good.
            history.quarantinedForAllUntil = closedUntil;
        }
        return true;
    }

    /**
     * Quarantines a worker: it gets no new work for a time, unless no other worker takes a task of an idle job. The time
     * doubles with each quarantine up to a maximum until a run succeeds. For long-running tasks it stays at its initial
     * value, since they run on other workers for so long that these may have no capacity until the quarantine ends.
     */
    void quarantine(WorkerId worker, Instant now) {
        WorkerHistory history = historyOf(worker);
        history.failedJobs.clear();
        if (!quarantines) {
            return;
        }
        history.quarantinedAt = now;
        history.quarantinedUntil = now.plus(history.nextQuarantine);
        history.quarantinedForAllUntil = now.plus(INITIAL_QUARANTINE);
        Duration doubled = history.nextQuarantine.multipliedBy(2);
        history.nextQuarantine = doubled.compareTo(MAX_QUARANTINE) > 0 ? MAX_QUARANTINE : doubled;
    }

    /** Returns whether a worker is in quarantine, so that it gets no new short tasks but for trials. */
    boolean quarantined(WorkerId worker, Instant now) {
        WorkerHistory history = histories.get(worker);
        return history != null && now.isBefore(history.quarantinedUntil);
    }

    /** Returns whether a worker gets no new tasks, not even long-running ones, but for jobs that are idle. */
    boolean quarantinedForAll(WorkerId worker, Instant now) {
        WorkerHistory history = histories.get(worker);
        return history != null && now.isBefore(history.quarantinedForAllUntil);
    }

    /** Returns the moving average of a worker's run times relative to those expected; 1 without any. */
    double slowdown(WorkerId worker) {
        WorkerHistory history = histories.get(worker);
        return history == null ? 1 : history.slowdown;
    }

    void remove(WorkerId worker) {
        histories.remove(worker);
    }

    private WorkerHistory historyOf(WorkerId worker) {
        return histories.computeIfAbsent(worker, id -> new WorkerHistory());
    }

    private static final class WorkerHistory {

        private final Set<JobId> failedJobs = new HashSet<>();

        private Duration nextQuarantine = INITIAL_QUARANTINE;

        private Instant quarantinedAt = Instant.MAX;

        private Instant quarantinedUntil = Instant.MIN;

        private Instant quarantinedForAllUntil = Instant.MIN;

        private double slowdown = 1;

        /** Returns whether a run was placed after the last quarantine began. */
        private boolean isTrial(Instant placedAt) {
            return placedAt.isAfter(quarantinedAt);
        }
    }
}
