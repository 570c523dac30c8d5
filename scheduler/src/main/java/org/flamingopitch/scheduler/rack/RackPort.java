package org.flamingopitch.scheduler.rack;

import java.util.List;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.scheduler.message.TaskStatus;

/** Sends the statuses of tasks from a rack's owner to the owners of the shards that hold their jobs. */
@FunctionalInterface
public interface RackPort {

    /**
     * Sends task statuses to the owners of their jobs.
     *
     * @param rack the rack that runs the tasks
     * @param tasks the statuses of the tasks
     */
    void sendTaskStatuses(PartitionId rack, List<TaskStatus> tasks);
}
