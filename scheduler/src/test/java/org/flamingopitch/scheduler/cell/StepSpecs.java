package org.flamingopitch.scheduler.cell;

import java.util.List;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.model.Resources;

/** Creates specifications of steps whose tasks take one second and resume from checkpoints. */
final class StepSpecs {

    private StepSpecs() {}

    static StepSpec plain(int count, long milliCores, boolean longRunning, List<Integer> after) {
        return create(count, milliCores, longRunning, after, false, null);
    }

    /** Creates a step whose tasks prefer a rack. */
    static StepSpec preferringRack(int count, long milliCores, String rack) {
        return create(count, milliCores, false, List.of(), false, rack);
    }

    /** Creates a step whose tasks are slower on several racks. */
    static StepSpec group(int count, long milliCores) {
        return create(count, milliCores, false, List.of(), true, null);
    }

    private static StepSpec create(
            int count, long milliCores, boolean longRunning, List<Integer> after, boolean sameRack, String rack) {
        return new StepSpec(
                count,
                new Resources(milliCores, 100, 0),
                1_000,
                after,
                true,
                false,
                sameRack,
                null,
                rack,
                0,
                false,
                longRunning,
                null,
                0,
                false,
                0);
    }
}
