package org.flamingopitch.scheduler.cell.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.flamingopitch.scheduler.model.Resources;

/**
 * A step of a job: a number of equal tasks.
 *
 * @param count the number of tasks
 * @param demand the resources that each task needs
 * @param estimateMillis a rough estimate of a task's duration, in milliseconds
 * @param after the indexes of the steps that must be done before this one starts
 * @param checkpointing whether a task can resume from a checkpoint
 * @param gang whether the tasks form a gang, which means that they must all run at the same time
 * @param sameRack whether the tasks are slower if they are spread over several racks
 * @param requiredLabel a label that a worker must have, or null
 * @param preferredRack the rack that holds the step's data, or null
 * @param maxPerWorker how many tasks of the step may run on one worker, 0 for no limit
 * @param speculative whether several copies of a task may run at the same time
 * @param lasting whether the tasks are long-running, which means that they run until the job is cancelled
 * @param image the image that the tasks run, or null
 * @param targetMillis the target for the tail response time of a task, in milliseconds, 0 if there is none; a
 *     long-running task with a target is latency-critical
 * @param fills whether the tasks are best-effort, which means that they use only processor time that other tasks leave
 * @param maxUnavailable how many of the long-running tasks the scheduler may interrupt at the same time, 0 for no limit
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
     * Sets defaults for values that a stored record omits.
     */
    public StepSpec {
        demand = demand == null ? Resources.NONE : demand;
        after = after == null ? List.of() : List.copyOf(after);
    }

    /**
     * Returns the resources that a task reserves on its worker.
     *
     * @return the demand, without processor time for best-effort tasks
     */
    public Resources reserved() {
        return fills ? new Resources(0, demand.memoryMegabytes(), demand.accelerators()) : demand;
    }

    /**
     * Returns the image that the tasks run.
     *
     * @return the image, empty if none is specified
     */
    public String imageName() {
        return image == null ? "" : image;
    }

    /**
     * Returns whether the tasks are latency-critical, which means long-running with a response time target.
     *
     * @return whether the tasks are latency-critical
     */
    public boolean latencyCritical() {
        return lasting && targetMillis > 0;
    }
}
