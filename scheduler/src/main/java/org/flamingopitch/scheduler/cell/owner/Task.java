package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.flamingopitch.scheduler.model.WorkerId;

/** A task of an open job. */
final class Task {

    private final Step step;

    private final TaskRef ref;

    private final List<Integer> failedRuns = new ArrayList<>();

    private final List<WorkerId> avoided = new ArrayList<>();

    private int lastRun;

    private boolean done;

    private String checkpoint = "";

    private Run run;

    private Instant notBefore = Instant.MIN;

    Task(Step step, TaskRef ref) {
        this.step = step;
        this.ref = ref;
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

    void finish() {
        done = true;
        checkpoint = "";
    }

    Run run() {
        return run;
    }

    boolean waiting(Instant now) {
        return !done && run == null && !now.isBefore(notBefore);
    }

    Instant notBefore() {
        return notBefore;
    }

    void delayUntil(Instant time) {
        notBefore = time;
    }

    Run place(WorkerState worker, Instant now) {
        lastRun++;
        run = new Run(this, worker, lastRun, now);
        return run;
    }

    /** Restores a run that a former owner recorded; whether its worker has it is not known yet. */
    Run restore(WorkerState worker, int number, Instant now) {
        run = new Run(this, worker, number, now);
        run.enter(RunPhase.SENT);
        run.settle(Instant.MIN);
        return run;
    }

    void leave() {
        run = null;
    }

    int lastRun() {
        return lastRun;
    }

    void restoreLastRun(int number) {
        lastRun = Math.max(lastRun, number);
    }

    List<Integer> failedRuns() {
        return failedRuns;
    }

    void addFailure(int number, WorkerId worker) {
        if (!failedRuns.contains(number)) {
            failedRuns.add(number);
        }
        avoid(worker);
    }

    void avoid(WorkerId worker) {
        if (!avoided.contains(worker)) {
            avoided.add(worker);
        }
    }

    boolean avoids(WorkerId worker) {
        return avoided.contains(worker);
    }

    int avoidedCount() {
        return avoided.size();
    }

    String checkpoint() {
        return checkpoint;
    }

    void keepCheckpoint(String value) {
        if (step.spec().checkpointing() && value != null && !value.isEmpty()) {
            checkpoint = value;
        }
    }
}
