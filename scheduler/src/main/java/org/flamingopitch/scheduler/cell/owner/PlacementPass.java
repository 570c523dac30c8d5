package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;

/**
 * One pass that places many waiting tasks. It caches what is computed for a worker, and the scores of a step's tasks on
 * it, until a task is placed there, so that a pass over a long queue stays short on a host with a small processor
 * share.
 */
final class PlacementPass {

    private final PlacementPolicy placement;

    private final Instant now;

    private final List<PlacementCandidate> views = new ArrayList<>();

    PlacementPass(
            PlacementPolicy placement,
            InterferenceEstimator interference,
            Collection<WorkerState> workers,
            Predicate<WorkerState> usable,
            Instant now) {
        this.placement = placement;
        this.now = now;
        for (WorkerState worker : workers) {
            if (usable.test(worker)) {
                views.add(new PlacementCandidate(worker, interference, now));
            }
        }
    }

    /** Starts to search workers for the tasks of a step. */
    Search search(Step step) {
        return new Search(step);
    }

    /** Searches workers for the tasks of one step, one task after the other. */
    final class Search {

        private final Step step;

        private final double[] scores = new double[views.size()];

        private Search(Step step) {
            this.step = step;
            scoreAll();
        }

        /** Returns the worker with the highest score that may run the task, or null if there is none. */
        PlacementCandidate findBest(Task task) {
            int bestIndex = -1;
            double bestScore = PlacementPolicy.NOT_PERMITTED;
            for (int i = 0; i < scores.length; i++) {
                WorkerState worker = views.get(i).worker();
                Task reservedFor = worker.reservedFor(now);
                if (scores[i] <= bestScore || reservedFor != null && reservedFor != task) {
                    continue;
                }
                double score = task.avoids(worker.id()) ? scores[i] - PlacementPolicy.LAST_RESORT_PENALTY : scores[i];
                if (score > bestScore) {
                    bestIndex = i;
                    bestScore = score;
                }
            }
            return bestIndex < 0 ? null : views.get(bestIndex);
        }

        /** Updates the scores after a task of the step was placed on a worker. */
        void onPlaced(PlacementCandidate view) {
            view.refresh();
            if (PlacementPolicy.dependsOnOthers(step.spec())) {
                scoreAll();
            } else {
                int index = views.indexOf(view);
                scores[index] = placement.score(step, view, false);
            }
        }

        private void scoreAll() {
            boolean reserveExhausted = placement.reserveExhausted(views);
            for (int i = 0; i < scores.length; i++) {
                scores[i] = placement.score(step, views.get(i), reserveExhausted);
            }
        }
    }
}
