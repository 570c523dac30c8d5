package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import java.util.Collection;
import java.util.function.Predicate;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.model.Resources;

/**
 * Chooses a worker for a task, on what is reserved and not on what is estimated. Lasting tasks are packed, and serving
 * tasks beside others of their image: whether a task that fills disturbs a serving one depends on the pair of images, so
 * that it finds either workers on which nobody serves or workers on which it disturbs nobody. Short
 * tasks go into the smallest gap, so that larger gaps stay for larger tasks, and those that fill go where most processor
 * time is left.
 */
final class Placement {

    /** Outweighs any difference in processor time: a worker to use only when there is no other. */
    private static final double LAST_RESORT = 1e9;

    /** A worker that takes this many times as long as its peers is a last resort. */
    private static final double SLOW = 2.5;

    /** Outweighs how tightly lasting tasks are packed. */
    private static final double SAME_IMAGE = 1e6;

    /** The share of the workers that is kept free of serving tasks as long as others have room: for wide and heavy tasks. */
    private static final double KEPT_FREE = 0.2;

    /** Slack beyond what serving tasks keep, since their own load rises while a task runs beside them. */
    private static final double SLACK_RESERVE = 0.25;

    private final WorkerHealth health;

    private final Interference interference;

    Placement(WorkerHealth health, Interference interference) {
        this.health = health;
        this.interference = interference;
    }

    /** Returns the best worker that has room, or null. */
    WorkerState choose(Task task, Collection<WorkerState> workers, Predicate<WorkerState> usable, Instant now) {
        boolean scarce = servingFreeScarce(workers);
        WorkerState best = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        for (WorkerState worker : workers) {
            if (!usable.test(worker) || !allowed(task, worker, now)) {
                continue;
            }
            double score = score(task, worker, scarce, now);
            if (score > bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return best;
    }

    private boolean allowed(Task task, WorkerState worker, Instant now) {
        StepSpec spec = task.step().spec();
        if (!permits(task, worker)) {
            return false;
        }
        Task keptFor = worker.keptFor(now);
        if (keptFor != null && keptFor != task) {
            return false;
        }
        if (!spec.reserved().fitsInto(worker.free())) {
            return false;
        }
        if (spec.fills() && !mayFill(spec, worker, now)) {
            return false;
        }
        return true;
    }

    /** Tells whether a task may run on a worker that has room. */
    boolean permits(Task task, WorkerState worker) {
        StepSpec spec = task.step().spec();
        boolean served = worker.entry().service().equals(task.job().queue().service());
        boolean labelled =
                spec.requiredLabel() == null || worker.entry().labels().contains(spec.requiredLabel());
        boolean spread = spec.maxPerWorker() == 0 || task.step().runsOn(worker) < spec.maxPerWorker();
        return served && labelled && spread;
    }

    private boolean mayFill(StepSpec spec, WorkerState worker, Instant now) {
        long wanted = Math.min(spec.demand().milliCores(), fullCpu(worker));
        if (!serves(worker)) {
            return unusedCpu(worker) >= wanted;
        }
        boolean room = unusedCpu(worker) + Interference.idleServingCpu(worker) >= wanted;
        return room && interference.predict(worker, spec, now) >= PaceControl.KEPT_SLACK + SLACK_RESERVE;
    }

    private static boolean serves(WorkerState worker) {
        return worker.runs().stream().anyMatch(run -> run.task().step().spec().serving());
    }

    private static long fullCpu(WorkerState worker) {
        return worker.entry().capacity().milliCores();
    }

    /** Returns the processor time that neither reservations nor the tasks that fill take. */
    static long unusedCpu(WorkerState worker) {
        return worker.free().milliCores() - worker.fillCpuMillis();
    }

    private static boolean servingFreeScarce(Collection<WorkerState> workers) {
        long free = workers.stream().filter(worker -> !serves(worker)).count();
        return free <= workers.size() * KEPT_FREE;
    }

    private double score(Task task, WorkerState worker, boolean scarce, Instant now) {
        StepSpec spec = task.step().spec();
        Resources free = worker.free();
        double score = spec.fills() ? unusedCpu(worker) : -free.milliCores();
        if (spec.serving()) {
            score += SAME_IMAGE * sameImageShare(spec, worker);
            score -= scarce && !serves(worker) ? 2 * SAME_IMAGE : 0;
        }
        if (spec.fills() && serves(worker)) {
            score -= LAST_RESORT / 100 / (1 + interference.predict(worker, spec, now));
        }
        if (spec.preferredRack() != null && !worker.entry().labels().contains(spec.preferredRack())) {
            score -= LAST_RESORT / 10;
        }
        if (health.slowness(worker.id()) > SLOW) {
            score -= LAST_RESORT / 10;
        }
        if (task.avoids(worker.id()) || worker.entry().coldMillis() > 0) {
            score -= LAST_RESORT;
        }
        if (spec.sameRack() && !nearOthers(task, worker)) {
            score -= LAST_RESORT / 20;
        }
        return score;
    }

    /** Returns the share of the serving tasks beside which have the same image; none if others serve there, too. */
    private static double sameImageShare(StepSpec spec, WorkerState worker) {
        int same = 0;
        int others = 0;
        for (Run run : worker.runs()) {
            StepSpec beside = run.task().step().spec();
            if (beside.serving()) {
                same += beside.imageName().equals(spec.imageName()) ? 1 : 0;
                others += beside.imageName().equals(spec.imageName()) ? 0 : 1;
            }
        }
        return same + others == 0 ? 0 : (double) (same - others) / (same + others);
    }

    private static boolean nearOthers(Task task, WorkerState worker) {
        for (Task other : task.step().tasks()) {
            if (other.run() != null && other.run().worker().known()) {
                return other.run()
                        .worker()
                        .entry()
                        .labels()
                        .equals(worker.entry().labels());
            }
        }
        return true;
    }
}
