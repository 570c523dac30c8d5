package org.flamingopitch.scheduler.cell.owner;

import java.util.HashMap;
import java.util.Map;
import org.flamingopitch.scheduler.cell.model.ServiceName;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.model.Resources;

/**
 * Records during one pass which kinds of tasks could not be placed, so that tasks of the same kind with at least the
 * same demand are not tried again. This shortens passes over long queues, in which most tasks are of kinds that no
 * worker has capacity for.
 */
final class FailedPlacements {

    private final Map<TaskKind, Resources> failedDemands = new HashMap<>();

    /** Returns whether the step's tasks need at least as much as a task of the same kind that could not be placed. */
    boolean covers(Step step) {
        Resources failedDemand = failedDemands.get(TaskKind.of(step));
        return failedDemand != null && failedDemand.fitsInto(step.spec().demand());
    }

    /**
     * Records that a task of the step could not be placed. The failure says nothing about other steps if the step's
     * limit of tasks per worker excluded a worker.
     */
    void add(Step step) {
        if (step.reachesMaxPerWorker()) {
            return;
        }
        failedDemands.merge(
                TaskKind.of(step), step.spec().demand(), (former, added) -> former.fitsInto(added) ? former : added);
    }

    private record TaskKind(ServiceName service, boolean longRunning, boolean bestEffort, String image, String label) {

        private static TaskKind of(Step step) {
            StepSpec spec = step.spec();
            return new TaskKind(
                    step.job().queue().service(), spec.lasting(), spec.fills(), spec.imageName(), spec.requiredLabel());
        }
    }
}
