package org.flamingopitch.scheduler.cell;

import java.util.List;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.model.ServiceName;

/** The configuration with one queue that the hosts of a simulated cell start with. */
final class InitialConfiguration {

    private InitialConfiguration() {}

    static CellConfiguration create() {
        QueueSpec queue = new QueueSpec(
                new QueueName("q"), "callers.example", "/q/", new ServiceName("pool"), 0, 3, 2, 1_000, 3_000, false);
        return new CellConfiguration(1, List.of(queue), 100_000);
    }
}
