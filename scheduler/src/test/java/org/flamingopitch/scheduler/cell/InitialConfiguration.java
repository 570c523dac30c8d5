package org.flamingopitch.scheduler.cell;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.model.ServiceName;
import org.flamingopitch.scheduler.cell.owner.CellTimings;

/** The configuration with one queue and the time limits that the hosts of a simulated cell start with. */
final class InitialConfiguration {

    private InitialConfiguration() {}

    static CellTimings timings(double farFactor) {
        Duration second = Duration.ofSeconds(1);
        return new CellTimings(
                Duration.ofSeconds(6),
                Duration.ofSeconds(120),
                Duration.ofSeconds(3),
                second,
                second,
                Duration.ofSeconds(5),
                Duration.ZERO,
                Duration.ZERO,
                farFactor);
    }

    static CellConfiguration create() {
        QueueSpec queue = new QueueSpec(
                new QueueName("q"), "callers.example", "/q/", new ServiceName("pool"), 0, 3, 2, 1_000, 3_000, false);
        return new CellConfiguration(1, List.of(queue), 100_000);
    }
}
