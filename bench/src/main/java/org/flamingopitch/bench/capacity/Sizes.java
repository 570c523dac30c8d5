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

/** Makes configurations of any size. */
final class Sizes {

    static final String CENTRE = "centre";

    static final String REGION = "region";

    private static final int RACK_SIZE = 40;

    private static final int SLOTS = 32;

    private Sizes() {}

    static Configuration configuration(int workers, int shards) {
        List<RackSpec> racks = new ArrayList<>();
        for (int start = 0; start < workers; start += RACK_SIZE) {
            List<WorkerSpec> specs = new ArrayList<>();
            for (int i = start; i < Math.min(workers, start + RACK_SIZE); i++) {
                Resources capacity = new Resources(64_000, 256_000, 2);
                specs.add(new WorkerSpec(new WorkerId("worker-" + i), "10.1.2.3:" + (1_000 + i), capacity, SLOTS, 64));
            }
            racks.add(new RackSpec("rack-" + racks.size(), specs));
        }
        Resources small = new Resources(500, 256, 0);
        List<KindRule> kinds = List.of(
                kind("price-check", Urgency.URGENT, Repeatability.REPEATABLE, small),
                kind("hold", Urgency.URGENT, Repeatability.NEVER_REPEATED, small),
                kind("render", Urgency.DEFERRABLE, Repeatability.REPEATABLE, small));
        DataCentreSpec centre = new DataCentreSpec(CENTRE, REGION, racks);
        return new Configuration(REGION, shards, List.of(centre), new Rules(kinds, 2, 1_000));
    }

    private static KindRule kind(String name, Urgency urgency, Repeatability repeatability, Resources size) {
        return new KindRule(new KindName(name), urgency, repeatability, size, Duration.ofSeconds(2));
    }
}
