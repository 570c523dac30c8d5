package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.flamingopitch.scheduler.model.WorkerId;

/**
 * A task of an open job: its open runs, the number of its last run, the runs that failed, the runs under
 * which a worker crashed, and its checkpoint. It has at most one open run, or two if its step permits copies.
 */
final class Task {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int AT_WORK_PERCENT = 100;

    /** Keeps the record of a part of a job's progress below the limits of the store and of a transaction. */
    private static final int MAX_CHECKPOINT_LENGTH = 2_000;

    private final Step step;

    private final TaskRef ref;

    private final List<Integer> failedRuns = new ArrayList<>();

    /** Runs under which a worker crashed, since the last run that was proven. */
    private final List<Integer> crashedRuns = new ArrayList<>();

    /** Runs whose worker crashed without a sign that it had started them, since the last run that was proven. */
    private final List<Integer> possiblyCrashedRuns = new ArrayList<>();

    /** Workers on which the task failed, stalled or was not started. */
    private final List<WorkerId> avoidedWorkers = new ArrayList<>();

    private int lastRunNumber;

    private boolean done;

    private String checkpoint = "";

    /** The open runs in the order of their numbers: none, one, or one and its copy. */
    private final List<Run> runs = new ArrayList<>();

    /** The worker that was last reserved for this task, or null. */
    private WorkerState reservedWorker;

    /** Whether the present run is being stopped so that the task runs on the worker that is reserved for it. */
    private boolean moving;

    private Instant retryNotBefore = Instant.MIN;

    private Instant waitingSince;

    /** When an ended run was last known to be at work; the submission of the job if none was. */
    private Instant lastAtWorkAt;

    /** When the task was first left waiting for its rack; null if it never was. */
    private Instant rackWaitSince;

    /** Whether the task was placed after it had been left waiting for its rack. */
    private boolean rackWaitEnded;

    Task(Step step, TaskRef ref) {
        this.step = step;
        this.ref = ref;
        this.waitingSince = step.job().submittedAt();
        this.lastAtWorkAt = waitingSince;
    }

    Step step() {
        return step;
    }

    Job job() {
        return step.job();
    }

    TaskRef ref() {
        return ref;
    }

    boolean done() {
        return done;
    }

    void markDone() {
        done = true;
        clearCrashes();
        checkpoint = "";
    }

    /** Returns the open run, the first one if there are two, or null. */
    Run run() {
        return runs.isEmpty() ? null : runs.get(0);
    }

    /** Returns the second of two open runs, or null. */
    Run copy() {
        return runs.size() < 2 ? null : runs.get(1);
    }

    /** Returns the open runs in the order of their numbers. */
    List<Run> runs() {
        return List.copyOf(runs);
    }

    boolean hasRun(Run run) {
        return runs.contains(run);
    }

    boolean hasRunOn(WorkerState worker) {
        for (Run run : runs) {
            if (run.worker() == worker) {
                return true;
            }
        }
        return false;
    }

    /** Returns the open run with a number on a worker, or null. */
    Run run(int number, WorkerState worker) {
        for (Run run : runs) {
            if (run.number() == number && run.worker() == worker) {
                return run;
            }
        }
        return null;
    }

    /**
     * Returns whether a copy may be started beside the only run of the task. If both runs should fail, the number of
     * failures must not exceed what the queue permits. A task that may have crashed a worker runs on one worker only.
     */
    boolean copyable() {
        return step.permitsCopies()
                && job().open()
                && !done
                && runs.size() == 1
                && run().phase() == RunPhase.RUNNING
                && !suspect()
                && failedRuns.size() + 2 <= job().queue().maxAttempts();
    }

    /**
     * Returns whether the task may be placed on any worker now: it has no run, is not done, needs no isolation, and its
     * retry delay is over.
     */
    boolean waiting(Instant now) {
        return readyForRun(now) && !needsIsolation();
    }

    /** Returns whether the task may be placed now, but only in isolation. */
    boolean awaitsIsolation(Instant now) {
        return readyForRun(now) && needsIsolation();
    }

    private boolean readyForRun(Instant now) {
        return !done && runs.isEmpty() && !now.isBefore(retryNotBefore);
    }

    Instant retryNotBefore() {
        return retryNotBefore;
    }

    void delayUntil(Instant time) {
        retryNotBefore = time;
    }

    /**
     * Creates the next run of the task, on a worker.
     *
     * @throws IllegalStateException if the task has an open run and may not have a copy
     */
    Run place(WorkerState worker, Instant now) {
        boolean permitted = runs.isEmpty() || copyable() && !hasRunOn(worker);
        if (!permitted) {
            throw new IllegalStateException("task " + ref + " must not have another run beside " + runs);
        }
        lastRunNumber++;
        moving = false;
        Run run = new Run(this, worker, lastRunNumber, now);
        runs.add(run);
        return run;
    }

    /**
     * Restores a run that was recorded or started by a former owner; the next report shows whether the worker has it.
     */
    Run restoreRun(WorkerState worker, int number, Instant now) {
        Run run = new Run(this, worker, number, now);
        runs.add(run);
        runs.sort(Comparator.comparingInt(Run::number));
        run.enterPhase(RunPhase.SENT, now);
        run.setOrderOutcomeKnown(Instant.MIN);
        run.markConfirmed();
        run.markBeginUnknown();
        if (step.spec().fills()) {
            run.markThrottleLevelUnknown();
        }
        return run;
    }

    /**
     * Removes an ended run; another one goes on as the only run of the task.
     *
     * @param atWorkUntil the last time at which the run is known to have been at work
     */
    void remove(Run run, Instant now, Instant atWorkUntil) {
        runs.remove(run);
        lastAtWorkAt = atWorkUntil.isAfter(lastAtWorkAt) ? atWorkUntil : lastAtWorkAt;
        if (runs.isEmpty()) {
            waitingSince = now;
        }
    }

    /** Returns since when the task has had no run: the end of its last one, or the submission of its job. */
    Instant waitingSince() {
        return waitingSince;
    }

    /** Returns when an ended run was last known to be at work; the submission of the job if none was. */
    Instant lastAtWorkAt() {
        return lastAtWorkAt;
    }

    /** Returns when the task was first left waiting for its rack, or null if it never was. */
    Instant rackWaitSince() {
        return rackWaitSince;
    }

    void startRackWait(Instant now) {
        rackWaitSince = now;
    }

    /** Returns whether the wait for the rack is over; a task that is placed again does not wait again. */
    boolean rackWaitEnded() {
        return rackWaitEnded;
    }

    void endRackWait() {
        rackWaitEnded = true;
    }

    int lastRunNumber() {
        return lastRunNumber;
    }

    void restoreLastRunNumber(int number) {
        lastRunNumber = Math.max(lastRunNumber, number);
    }

    List<Integer> failedRuns() {
        return failedRuns;
    }

    void addFailure(int number, WorkerId worker) {
        restoreFailure(number);
        avoid(worker);
    }

    /** Adds a failed run to those that limit the attempts; a long-running task has no limit. */
    void restoreFailure(int number) {
        if (!step.spec().lasting() && !failedRuns.contains(number)) {
            failedRuns.add(number);
        }
    }

    List<Integer> crashedRuns() {
        return crashedRuns;
    }

    List<Integer> possiblyCrashedRuns() {
        return possiblyCrashedRuns;
    }

    /**
     * Records that a worker crashed after a run was ordered from it.
     *
     * @param confirmed whether the worker is known to have had the run
     * @return whether this was not recorded before
     */
    boolean addCrash(int number, boolean confirmed) {
        if (crashedRuns.contains(number) || possiblyCrashedRuns.contains(number)) {
            return false;
        }
        return (confirmed ? crashedRuns : possiblyCrashedRuns).add(number);
    }

    void clearCrashes() {
        crashedRuns.clear();
        possiblyCrashedRuns.clear();
    }

    /** Returns how many workers may have crashed under the task since its last run that was proven. */
    int crashCount() {
        return crashedRuns.size() + possiblyCrashedRuns.size();
    }

    /** Returns whether the task may have crashed a worker. */
    boolean suspect() {
        return crashCount() > 0;
    }

    /** Returns whether the task may be started only where no other task can crash the worker. */
    boolean needsIsolation() {
        return CrashAttribution.needsIsolation(this);
    }

    void avoid(WorkerId worker) {
        if (!avoidedWorkers.contains(worker)) {
            avoidedWorkers.add(worker);
        }
    }

    boolean avoids(WorkerId worker) {
        return avoidedWorkers.contains(worker);
    }

    int avoidedWorkerCount() {
        return avoidedWorkers.size();
    }

    void setReservedWorker(WorkerState worker) {
        reservedWorker = worker;
    }

    /** Returns whether the free capacity of a worker is reserved for this task. */
    boolean hasReservation(Instant now) {
        return reservedWorker != null && reservedWorker.reservedFor(now) == this;
    }

    /** Returns whether a long-running task is at work: a run that is not being stopped reports its progress as full. */
    boolean atWork() {
        Run run = run();
        return run != null && run.phase() == RunPhase.RUNNING && run.progressPercent() >= AT_WORK_PERCENT;
    }

    /** Returns whether the task has a run that a former owner recorded and no report has shown since. */
    boolean awaitsFirstReport() {
        Run run = run();
        return run != null && run.phase() == RunPhase.SENT && run.confirmed();
    }

    /** Marks the task as being moved to the worker that is reserved for it. */
    void markMoving() {
        moving = true;
    }

    boolean moving() {
        return moving;
    }

    /** Returns whether the task has no run, or its run is being stopped in order to be moved. */
    boolean awaitsPlacement() {
        Run run = run();
        return run == null || moving && run.phase() == RunPhase.STOPPING;
    }

    String checkpoint() {
        return checkpoint;
    }

    /**
     * Replaces the checkpoint, unless the value is empty or too long for the record, or the task cannot resume from one.
     */
    void updateCheckpoint(String value) {
        if (!step.spec().checkpointing() || value == null || value.isEmpty()) {
            return;
        }
        if (value.length() > MAX_CHECKPOINT_LENGTH) {
            LOGGER.atWarning().every(100).log(
                    "event=checkpoint_too_long task=%s length=%d max=%d", ref, value.length(), MAX_CHECKPOINT_LENGTH);
            return;
        }
        checkpoint = value;
    }

    /** Replaces the checkpoint by one of a run, unless another run has made more progress. */
    void updateCheckpoint(Run reporter, String value) {
        boolean behind = reporter != null
                && runs.stream().anyMatch(run -> run != reporter && run.progressPercent() > reporter.progressPercent());
        if (!behind) {
            updateCheckpoint(value);
        }
    }
}
