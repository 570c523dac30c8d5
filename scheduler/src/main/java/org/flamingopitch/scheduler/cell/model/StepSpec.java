package org.flamingopitch.scheduler.cell.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.flamingopitch.scheduler.model.Resources;

/**
 * A step of a job: tasks that are alike.
 *
 * @param count the number of tasks
 * @param demand what each task takes
 * @param estimateMillis a rough estimate of a task's duration
 * @param after the steps that must be done first
 * @param checkpointing whether a task can resume from a checkpoint
 * @param gang whether the tasks work only together
 * @param sameRack whether the tasks slow down when they are on several racks
 * @param requiredLabel a label that a worker must have, or null
 * @param preferredRack the rack with the step's data, or null
 * @param maxPerWorker how many tasks may run on one worker, 0 for any number
 * @param speculative whether copies may run at the same time
 * @param lasting whether the tasks run until the job is cancelled
 * @param image what the tasks run, or null
 * @param targetMillis the response time that a serving task must keep, 0 for none
 * @param fills whether the tasks use only the processor time that others leave
 * @param maxUnavailable how many lasting tasks the system may keep from work at a time, 0 if not limited
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record StepSpec(
        int count,
        Resources demand,
        long estimateMillis,
        List<Integer> after,
        boolean checkpointing,
        boolean gang,
        boolean sameRack,
        String requiredLabel,
        String preferredRack,
        int maxPerWorker,
        boolean speculative,
        boolean lasting,
        String image,
        double targetMillis,
        boolean fills,
        int maxUnavailable) {

    /**
     * Fills in what a stored record leaves out.
     */
    public StepSpec {
        demand = demand == null ? Resources.NONE : demand;
        after = after == null ? List.of() : after;
    }

    /**
     * Returns what a task reserves on its worker.
     *
     * @return the demand, without processor time for tasks that use only what others leave
     */
    public Resources reserved() {
        return fills ? new Resources(0, demand.memoryMegabytes(), demand.accelerators()) : demand;
    }

    /**
     * Returns what the tasks run.
     *
     * @return the image, empty if none is named
     */
    public String imageName() {
        return image == null ? "" : image;
    }

    /**
     * Tells whether the tasks serve users with a response time to keep.
     *
     * @return whether there is such a target
     */
    public boolean serving() {
        return lasting && targetMillis > 0;
    }
}
