package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import org.flamingopitch.scheduler.cell.locality.GroupRack;
import org.flamingopitch.scheduler.cell.locality.Racks;
import org.flamingopitch.scheduler.cell.model.ServiceName;

/**
 * One pass that places many waiting tasks. It caches what is computed for a worker, and the scores of a step's tasks on
 * it, until a task is placed there, so that a pass over a long queue stays short on a host with a small processor
 * share.
 */
final class PlacementPass {

    private final PlacementPolicy placementPolicy;

    private final Instant now;

    private final Collection<WorkerState> workers;

    private final List<PlacementCandidate> candidates = new ArrayList<>();

    /** Computed when a step that prefers a rack is placed. */
    private Map<String, List<PlacementCandidate>> candidatesByLabel;

    /** Computed when the rack of a group of tasks is chosen. */
    private Racks racks;

    PlacementPass(
            PlacementPolicy placementPolicy,
            InterferenceEstimator interference,
            Collection<WorkerState> workers,
            Predicate<WorkerState> usable,
            Set<String> preferredRacks,
            Instant now) {
        this.placementPolicy = placementPolicy;
        this.now = now;
        this.workers = workers;
        for (WorkerState worker : workers) {
            if (usable.test(worker)) {
                candidates.add(new PlacementCandidate(
                        worker, interference, placementPolicy.quarantined(worker, now), preferredRacks, now));
            }
        }
    }

    /** Returns all workers, usable or not. */
    Collection<WorkerState> workers() {
        return workers;
    }

    /** Returns the racks of the registered workers, usable or not. */
    Racks racks() {
        if (racks == null) {
            racks = new Racks(workers.stream()
                    .filter(WorkerState::registered)
                    .map(worker -> worker.entry().labels())
                    .toList());
        }
        return racks;
    }

    /** Returns whether the step permits one of its tasks on the worker, regardless of free capacity. */
    boolean permits(Step step, WorkerState worker) {
        return placementPolicy.permits(step, worker);
    }

    List<PlacementCandidate> candidates() {
        return candidates;
    }

    /** Returns the usable workers of a service that have a label. */
    List<PlacementCandidate> candidates(ServiceName service, String label) {
        if (candidatesByLabel == null) {
            candidatesByLabel = new HashMap<>();
            for (PlacementCandidate candidate : candidates) {
                for (String each : candidate.worker().entry().labels()) {
                    candidatesByLabel
                            .computeIfAbsent(each, key -> new ArrayList<>())
                            .add(candidate);
                }
            }
        }
        return candidatesByLabel.getOrDefault(label, List.of()).stream()
                .filter(candidate -> candidate.worker().entry().service().equals(service))
                .toList();
    }

    /** Starts the search for workers for the tasks of a step. */
    Search search(Step step) {
        return new Search(step);
    }

    /** Searches workers for the tasks of one step, one task after the other. */
    final class Search {

        private final Step step;

        private final double[] scores = new double[candidates.size()];

        /** The step's group rack when the scores were computed. */
        private GroupRack scoredGroupRack;

        private Search(Step step) {
            this.step = step;
            scoreAll();
        }

        /**
         * Returns the worker that the task is being moved to, else the worker with the highest score that may run the
         * task, or null if there is none.
         */
        PlacementCandidate findBest(Task task) {
            return findBest(task, worker -> true);
        }

        /** Returns the worker for the task, among those that are permitted, or null if there is none. */
        PlacementCandidate findBest(Task task, Predicate<WorkerState> permitted) {
            int bestIndex = -1;
            double bestScore = PlacementPolicy.NOT_PERMITTED;
            for (int i = 0; i < scores.length; i++) {
                WorkerState worker = candidates.get(i).worker();
                boolean isMoveTarget = task.moving() && worker.reservedFor(now) == task;
                if (isMoveTarget
                        && scores[i] > PlacementPolicy.NOT_PERMITTED
                        && candidates.get(i).admits(task)) {
                    return candidates.get(i);
                }
                if (scores[i] <= bestScore
                        || worker.reservedForOther(task, now)
                        || task.hasRunOn(worker)
                        || !candidates.get(i).admits(task)
                        || !permitted.test(worker)) {
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
            if (step.spec().latencyCritical() || !Objects.equals(scoredGroupRack, step.groupRack())) {
                scoreAll();
            } else {
                int index = candidates.indexOf(candidate);
                scores[index] = placementPolicy.score(step, candidate, false);
            }
        }

        private void scoreAll() {
            scoredGroupRack = step.groupRack();
            boolean reserveExhausted = placementPolicy.reserveExhausted(candidates);
            for (int i = 0; i < scores.length; i++) {
                scores[i] = placementPolicy.score(step, candidates.get(i), reserveExhausted);
            }
        }
    }
}
