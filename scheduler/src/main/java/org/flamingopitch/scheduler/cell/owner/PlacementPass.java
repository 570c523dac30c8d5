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

    private final PlacementPolicy placementPolicy;

    private final Instant now;

    private final List<PlacementCandidate> candidates = new ArrayList<>();

    PlacementPass(
            PlacementPolicy placementPolicy,
            InterferenceEstimator interference,
            Collection<WorkerState> workers,
            Predicate<WorkerState> usable,
            Instant now) {
        this.placementPolicy = placementPolicy;
        this.now = now;
        for (WorkerState worker : workers) {
            if (usable.test(worker)) {
                candidates.add(
                        new PlacementCandidate(worker, interference, placementPolicy.quarantined(worker, now), now));
            }
        }
    }

    /** Starts the search for workers for the tasks of a step. */
    Search search(Step step) {
        return new Search(step);
    }

    /** Searches workers for the tasks of one step, one task after the other. */
    final class Search {

        private final Step step;

        private final double[] scores = new double[candidates.size()];

        private Search(Step step) {
            this.step = step;
            scoreAll();
        }

        /** Returns the worker with the highest score that may run the task, or null if there is none. */
        PlacementCandidate findBest(Task task) {
            int bestIndex = -1;
            double bestScore = PlacementPolicy.NOT_PERMITTED;
            for (int i = 0; i < scores.length; i++) {
                WorkerState worker = candidates.get(i).worker();
                Task reservedFor = worker.reservedFor(now);
                if (scores[i] <= bestScore
                        || reservedFor != null && reservedFor != task
                        || task.hasRunOn(worker)
                        || !candidates.get(i).admits(task)) {
                    continue;
                }
                double score = scores[i] - PlacementPolicy.penalty(task, candidates.get(i));
                if (score > bestScore) {
                    bestIndex = i;
                    bestScore = score;
                }
            }
            return bestIndex < 0 ? null : candidates.get(bestIndex);
        }

        /** Updates the scores after a task of the step was placed on a worker. */
        void onPlaced(PlacementCandidate candidate) {
            candidate.refresh();
            if (PlacementPolicy.dependsOnOthers(step.spec())) {
                scoreAll();
            } else {
                int index = candidates.indexOf(candidate);
                scores[index] = placementPolicy.score(step, candidate, false);
            }
        }

        private void scoreAll() {
            boolean reserveExhausted = placementPolicy.reserveExhausted(candidates);
            for (int i = 0; i < scores.length; i++) {
                scores[i] = placementPolicy.score(step, candidates.get(i), reserveExhausted);
            }
        }
    }
}
