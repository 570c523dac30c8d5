package org.flamingopitch.scheduler.cell.owner;

import java.util.HashMap;
import java.util.Map;
import org.flamingopitch.scheduler.cell.model.ServiceName;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.model.Resources;

/**
 * Remembers during one pass what found no room, so that tasks of the same kind that need as much are not tried again.
 * Answers long queues: most tasks in them are of kinds for which there is no room.
 */
final class MissedRoom {

    private final Map<Kind, Resources> smallest = new HashMap<>();

    /** Tells whether a step's tasks need at least as much as others of their kind that found no room. */
    boolean covers(Step step) {
        Resources missed = smallest.get(Kind.of(step));
        return missed != null && missed.fitsInto(step.spec().demand());
    }

    /** Notes that a task of a step found no room. */
    void add(Step step) {
        smallest.put(Kind.of(step), step.spec().demand());
    }

    private record Kind(
            ServiceName service, boolean lasting, boolean fills, String image, String label, boolean spread) {

        private static Kind of(Step step) {
            StepSpec spec = step.spec();
            return new Kind(
                    step.job().queue().service(),
                    spec.lasting(),
                    spec.fills(),
                    spec.imageName(),
                    spec.requiredLabel(),
                    spec.maxPerWorker() > 0);
        }
    }
}
