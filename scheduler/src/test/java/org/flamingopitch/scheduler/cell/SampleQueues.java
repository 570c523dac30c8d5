package org.flamingopitch.scheduler.cell;

import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.model.ServiceName;

/** Creates queues for a simulated cell. */
final class SampleQueues {

    private SampleQueues() {}

    /** Creates a queue under the prefix of its name, whose jobs have a minute. */
    static QueueSpec queue(String name, int priority) {
        return new QueueSpec(
                new QueueName(name),
                "callers.example",
                "/" + name + "/",
                new ServiceName("pool"),
                priority,
                3,
                2,
                60_000,
                3_000,
                false);
    }
}
