package org.flamingopitch.scheduler.cell;

import java.util.List;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.model.Resources;

/** Creates the specifications of steps for a simulated cell. */
final class SampleSteps {

    private static final int MEMORY_MEGABYTES = 100;

    private static final int ESTIMATE_MILLIS = 1_000;

    private SampleSteps() {}

    static StepSpec step(int count, long milliCores, boolean longRunning, List<Integer> after) {
        return step(count, milliCores, longRunning, after, 0);
    }

    static StepSpec step(int count, long milliCores, boolean longRunning, List<Integer> after, int maxUnavailable) {
        return create(count, milliCores, longRunning, after, false, null, null, 0, false, maxUnavailable);
    }

    /** Creates the step of a task that is latency-critical. */
    static StepSpec latencyCritical(String image, long milliCores, double targetMillis) {
        return create(1, milliCores, true, List.of(), false, null, image, targetMillis, false, 0);
    }

    static StepSpec bestEffort(String image, long milliCores) {
        return create(1, milliCores, false, List.of(), false, null, image, 0, true, 0);
    }

    /** Creates a step whose tasks prefer a rack. */
    static StepSpec preferringRack(int count, long milliCores, String rack) {
        return create(count, milliCores, false, List.of(), false, rack, null, 0, false, 0);
    }

    /** Creates a step whose tasks are slower on several racks. */
    static StepSpec group(int count, long milliCores) {
        return create(count, milliCores, false, List.of(), true, null, null, 0, false, 0);
    }

    private static StepSpec create(
            int count,
            long milliCores,
            boolean longRunning,
            List<Integer> after,
            boolean sameRack,
            String rack,
            String image,
            double targetMillis,
            boolean bestEffort,
            int maxUnavailable) {
        return new StepSpecBuilder()
                .count(count)
                .demand(new Resources(milliCores, MEMORY_MEGABYTES, 0))
                .estimateMillis(ESTIMATE_MILLIS)
                .after(after)
                .checkpointing(true)
                .sameRack(sameRack)
                .preferredRack(rack)
                .lasting(longRunning)
                .image(image)
                .targetMillis(targetMillis)
                .fills(bestEffort)
                .maxUnavailable(maxUnavailable)
                .build();
    }
}
