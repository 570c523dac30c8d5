package org.flamingopitch.scheduler.rack;

import java.util.List;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.scheduler.message.TaskStatus;

/** Passes what a rack's owner learns of tasks on to the owners of their jobs. */
@FunctionalInterface
public interface RackPort {

    /**
     * Tells the owners of the jobs.
     *
     * @param rack the rack
     * @param tasks the tasks
     */
    void tell(PartitionId rack, List<TaskStatus> tasks);
}
