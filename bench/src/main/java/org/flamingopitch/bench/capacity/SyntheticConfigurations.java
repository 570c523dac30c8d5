package org.flamingopitch.bench.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.scheduler.model.Configuration;
import org.flamingopitch.scheduler.model.DataCentreSpec;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.KindRule;
import org.flamingopitch.scheduler.model.RackSpec;
import org.flamingopitch.scheduler.model.Repeatability;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.Rules;
import org.flamingopitch.scheduler.model.Urgency;
import org.flamingopitch.scheduler.model.WorkerId;
import org.flamingopitch.scheduler.model.WorkerSpec;

/** Creates configurations of one data centre with a given number of workers and shards. */
final class SyntheticConfigurations {

    static final String DATA_CENTRE = "centre";

    static final String REGION = "region";

    private static final int WORKERS_PER_RACK = 40;

    private static final int SLOTS_PER_WORKER = 32;

    private SyntheticConfigurations() {}

    static Configuration create(int workerCount, int shardCount) {
        List<RackSpec> racks = new ArrayList<>();
        for (int start = 0; start < workerCount; start += WORKERS_PER_RACK) {
            List<WorkerSpec> specs = new ArrayList<>();
            for (int i = start; i < Math.min(workerCount, start + WORKERS_PER_RACK); i++) {
                Resources capacity = new Resources(64_000, 256_000, 2);
                specs.add(new WorkerSpec(
                        new WorkerId("worker-" + i), "10.1.2.3:" + (1_000 + i), capacity, SLOTS_PER_WORKER, 64));
            }
            racks.add(new RackSpec("rack-" + racks.size(), specs));
        }
        Resources taskSize = new Resources(500, 256, 0);
        List<KindRule> kinds = List.of(
                kind("price-check", Urgency.URGENT, Repeatability.REPEATABLE, taskSize),
                kind("hold", Urgency.URGENT, Repeatability.NEVER_REPEATED, taskSize),
                kind("render", Urgency.DEFERRABLE, Repeatability.REPEATABLE, taskSize));
        DataCentreSpec dataCentre = new DataCentreSpec(DATA_CENTRE, REGION, racks);
        return new Configuration(REGION, shardCount, List.of(dataCentre), new Rules(kinds, 2, 1_000));
    }

    private static KindRule kind(String name, Urgency urgency, Repeatability repeatability, Resources size) {
        return new KindRule(new KindName(name), urgency, repeatability, size, Duration.ofSeconds(2));
    }
}
