package org.flamingopitch.daemon.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.coordination.api.JsonCodec;
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
import org.flamingopitch.transport.http.HostPort;

/** Builds the configuration of a test deployment: an inventory with two workers a rack, and a rule for each kind. */
final class TestConfiguration {

    private static final int WORKERS_PER_RACK = 2;

    private TestConfiguration() {}

    static String createDocument(String region, String dataCentre, List<HostPort> workers) {
        List<RackSpec> racks = new ArrayList<>();
        for (int first = 0; first < workers.size(); first += WORKERS_PER_RACK) {
            List<WorkerSpec> specs = new ArrayList<>();
            for (int i = first; i < Math.min(first + WORKERS_PER_RACK, workers.size()); i++) {
                Resources capacity = new Resources(16_000, 60_000, 2);
                specs.add(new WorkerSpec(
                        new WorkerId("w" + (i + 1)), workers.get(i).toString(), capacity, 8, 64));
            }
            racks.add(new RackSpec("rack-" + (racks.size() + 1), specs));
        }
        Resources small = new Resources(500, 256, 0);
        Resources large = new Resources(4_000, 8_000, 1);
        Rules rules = new Rules(
                List.of(
                        rule("price-check", Urgency.URGENT, Repeatability.REPEATABLE, small),
                        rule("booking-hold", Urgency.URGENT, Repeatability.NEVER_REPEATED, small),
                        rule("render", Urgency.DEFERRABLE, Repeatability.REPEATABLE, large),
                        rule("carving", Urgency.DEFERRABLE, Repeatability.NEVER_REPEATED, large)),
                2,
                256);
        List<DataCentreSpec> dataCentres = List.of(new DataCentreSpec(dataCentre, region, racks));
        return JsonCodec.json().encode(new Configuration(region, 4, dataCentres, rules));
    }

    private static KindRule rule(String name, Urgency urgency, Repeatability repeatability, Resources size) {
        return new KindRule(new KindName(name), urgency, repeatability, size, Duration.ofSeconds(3));
    }
}
