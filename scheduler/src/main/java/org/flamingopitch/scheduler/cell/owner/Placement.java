package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import org.flamingopitch.scheduler.cell.model.StepSpec;

/**
 * Rates workers for a task, on what is reserved and not on what is estimated. Lasting tasks are packed, and serving tasks
 * beside others of their image: whether a task that fills disturbs a serving one depends on the pair of images, so that
 * it finds either workers on which nobody serves or workers on which it disturbs nobody. Short tasks go into the smallest
 * gap, so that larger gaps stay for larger tasks, and those that fill go where most processor time is left.
 */
final class Placement {

    /** The rating of a worker that a task must not go to. */
    static final double NOT_ALLOWED = Double.NEGATIVE_INFINITY;

    /** Outweighs any difference in processor time: a worker to use only when there is no other. */
    static final double LAST_RESORT = 1e9;

    /** A worker that takes this many times as long as its peers is a last resort. */
    private static final double SLOW = 2.5;

    /** Outweighs how tightly lasting tasks are packed. */
    private static final double SAME_IMAGE = 1e6;

    /** The share of the workers that is kept free of serving tasks as long as others have room: for wide and heavy tasks. */
    private static final double KEPT_FREE = 0.1;

    /** Slack beyond what serving tasks keep, since their own load rises while a task runs beside them. */
    private static final double SLACK_RESERVE = 0.25;

    private final WorkerHealth health;

    private final Interference interference;

    Placement(WorkerHealth health, Interference interference) {
        this.health = health;
        this.interference = interference;
    }

    /** Starts a pass over tasks that wait. */
    PlacingPass begin(Collection<WorkerState> workers, Predicate<WorkerState> usable, Instant now) {
        return new PlacingPass(this, interference, workers, usable, now);
    }

    /** Tells whether a task may run on a worker that has room. */
    boolean permits(Step step, WorkerState worker) {
        StepSpec spec = step.spec();
        boolean served = worker.entry().service().equals(step.job().queue().service());
        boolean labelled =
                spec.requiredLabel() == null || worker.entry().labels().contains(spec.requiredLabel());
        boolean spread = spec.maxPerWorker() == 0 || step.runsOn(worker) < spec.maxPerWorker();
        return served && labelled && spread;
    }

    /** Tells whether the rating of a worker for a step changes with what is placed on other workers. */
    static boolean dependsOnOthers(StepSpec spec) {
        return spec.serving() || spec.sameRack();
    }

    boolean servingFreeScarce(List<WorkerView> views) {
        long free = views.stream().filter(view -> !view.serves()).count();
        return free <= views.size() * KEPT_FREE;
    }

    /** Rates a worker for the tasks of a step, higher is better. */
    double score(Step step, WorkerView view, boolean servingFreeScarce) {
        StepSpec spec = step.spec();
        WorkerState worker = view.worker();
        if (!spec.reserved().fitsInto(view.free()) || !permits(step, worker)) {
            return NOT_ALLOWED;
        }
        double score = -view.free().milliCores();
        if (spec.fills()) {
            double slack = view.predict(spec);
            if (!mayFill(spec, view, slack)) {
                return NOT_ALLOWED;
            }
            score = view.unusedCpu() - (view.serves() ? LAST_RESORT / 100 / (1 + slack) : 0);
        }
        if (spec.serving()) {
            score += SAME_IMAGE * view.fitBeside(spec.imageName());
            score -= servingFreeScarce && !view.serves() ? 2 * SAME_IMAGE : 0;
        }
        return score - penalty(step, worker);
    }

    private double penalty(Step step, WorkerState worker) {
        StepSpec spec = step.spec();
        double penalty = 0;
        if (spec.preferredRack() != null && !worker.entry().labels().contains(spec.preferredRack())) {
            penalty += LAST_RESORT / 10;
        }
        if (health.slowness(worker.id()) > SLOW) {
            penalty += LAST_RESORT / 10;
        }
        if (worker.entry().coldMillis() > 0) {
            penalty += LAST_RESORT;
        }
        if (spec.sameRack() && !nearOthers(step, worker)) {
            penalty += LAST_RESORT / 20;
        }
        return penalty;
    }

    private static boolean mayFill(StepSpec spec, WorkerView view, double slack) {
        long wanted = Math.min(
                spec.demand().milliCores(), view.worker().entry().capacity().milliCores());
        return view.unusedCpu() + view.idleServingCpu() >= wanted && slack >= PaceControl.KEPT_SLACK + SLACK_RESERVE;
    }

    private static boolean nearOthers(Step step, WorkerState worker) {
        for (Task other : step.tasks()) {
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
