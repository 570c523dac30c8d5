package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;

/**
 * One look for workers for many tasks. What is worked out for a worker, and for the tasks of a step on it, is kept until
 * a task is placed there: a pass over a long queue must stay short on a host with a small share of a processor.
 */
final class PlacingPass {

    private final Placement placement;

    private final Instant now;

    private final List<WorkerView> views = new ArrayList<>();

    PlacingPass(
            Placement placement,
            Interference interference,
            Collection<WorkerState> workers,
            Predicate<WorkerState> usable,
            Instant now) {
        this.placement = placement;
        this.now = now;
        for (WorkerState worker : workers) {
            if (usable.test(worker)) {
                views.add(new WorkerView(worker, interference, now));
            }
        }
    }

    /** Starts to look for workers for the tasks of a step. */
    Search search(Step step) {
        return new Search(step);
    }

    /** The workers for the tasks of one step, one task after the other. */
    final class Search {

        private final Step step;

        private final double[] scores = new double[views.size()];

        private Search(Step step) {
            this.step = step;
            scoreAll();
        }

        /** Returns the best worker that has room for a task, or null. */
        WorkerView best(Task task) {
            int best = -1;
            double bestScore = Placement.NOT_ALLOWED;
            for (int i = 0; i < scores.length; i++) {
                WorkerState worker = views.get(i).worker();
                Task keptFor = worker.keptFor(now);
                if (scores[i] <= bestScore || keptFor != null && keptFor != task) {
                    continue;
                }
                double score = task.avoids(worker.id()) ? scores[i] - Placement.LAST_RESORT : scores[i];
                if (score > bestScore) {
                    best = i;
                    bestScore = score;
                }
            }
            return best < 0 ? null : views.get(best);
        }

        /** Notes that a task of the step was placed on a worker. */
        void placed(WorkerView view) {
            view.refresh();
            if (Placement.dependsOnOthers(step.spec())) {
                scoreAll();
            } else {
                int index = views.indexOf(view);
                scores[index] = placement.score(step, view, false);
            }
        }

        private void scoreAll() {
            boolean scarce = placement.servingFreeScarce(views);
            for (int i = 0; i < scores.length; i++) {
                scores[i] = placement.score(step, views.get(i), scarce);
            }
        }
    }
}
