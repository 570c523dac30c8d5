package org.flamingopitch.scheduler.session;

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

/** The deployments that are simulated, and their kinds of work. */
enum Deployment {
    /** Two hosts in the home region, one in another, two workers each. */
    SMALL("home", List.of(2, 1), List.of(2, 2), 16, 60),
    /** A dollhouse maker: 33 workers in three data centres of two regions. */
    MINIATURAS("pampa-este", List.of(3, 3, 2), List.of(14, 13, 6), 32, 125),
    /** A booking service: 45 workers in three data centres of two regions. */
    SONDHYA("kolkata", List.of(3, 3, 2), List.of(18, 18, 9), 16, 60);

    /** Kind of idempotent requests whose callers wait, such as price checks. */
    static final String URGENT_REPEATABLE = "urgent";

    /** Kind of requests that must not run twice and whose callers wait, such as holds on a booking. */
    static final String URGENT_ONCE = "hold";

    /** Kind of idempotent jobs that can be resumed. */
    static final String BATCH = "render";

    /** Kind of jobs that must not run twice. */
    static final String BATCH_ONCE = "carving";

    private static final int RACK_SIZE = 8;

    private static final int SLOTS = 8;

    private static final int CONNECTIONS = 64;

    private static final int SHARDS = 2;

    private final String homeRegion;

    private final List<Integer> hosts;

    private final List<Integer> workers;

    private final int cores;

    private final int memoryGigabytes;

    Deployment(String homeRegion, List<Integer> hosts, List<Integer> workers, int cores, int memoryGigabytes) {
        this.homeRegion = homeRegion;
        this.hosts = hosts;
        this.workers = workers;
        this.cores = cores;
        this.memoryGigabytes = memoryGigabytes;
    }

    /** Returns the data centre of each entry host. */
    List<String> hostDataCentres() {
        List<String> dataCentres = new ArrayList<>();
        for (int centre = 0; centre < hosts.size(); centre++) {
            for (int i = 0; i < hosts.get(centre); i++) {
                dataCentres.add(centreName(centre));
            }
        }
        return dataCentres;
    }

    String region(String dataCentre) {
        boolean last = dataCentre.equals(centreName(hosts.size() - 1));
        return last ? "far" : homeRegion;
    }

    Configuration configuration() {
        List<DataCentreSpec> centres = new ArrayList<>();
        for (int centre = 0; centre < workers.size(); centre++) {
            String name = centreName(centre);
            centres.add(new DataCentreSpec(name, region(name), racks(name, workers.get(centre))));
        }
        Resources small = new Resources(500, 512, 0);
        Resources large = new Resources(4_000, 12_000, 1);
        Rules rules = new Rules(
                List.of(
                        kind(URGENT_REPEATABLE, Urgency.URGENT, Repeatability.REPEATABLE, small),
                        kind(URGENT_ONCE, Urgency.URGENT, Repeatability.NEVER_REPEATED, small),
                        kind(BATCH, Urgency.DEFERRABLE, Repeatability.REPEATABLE, large),
                        kind(BATCH_ONCE, Urgency.DEFERRABLE, Repeatability.NEVER_REPEATED, large)),
                2,
                64);
        return new Configuration(homeRegion, SHARDS, centres, rules);
    }

    private List<RackSpec> racks(String centre, int count) {
        List<RackSpec> racks = new ArrayList<>();
        for (int start = 0; start < count; start += RACK_SIZE) {
            List<WorkerSpec> specs = new ArrayList<>();
            for (int i = start; i < Math.min(count, start + RACK_SIZE); i++) {
                Resources capacity = new Resources(cores * 1_000L, memoryGigabytes * 1_000L, 2);
                specs.add(new WorkerSpec(
                        new WorkerId(centre + "-w" + (i + 1)), "10.0.0.1:1", capacity, SLOTS, CONNECTIONS));
            }
            racks.add(new RackSpec("r" + (racks.size() + 1), specs));
        }
        return racks;
    }

    private static String centreName(int centre) {
        return "dc" + (centre + 1);
    }

    private static KindRule kind(String name, Urgency urgency, Repeatability repeatability, Resources size) {
        return new KindRule(new KindName(name), urgency, repeatability, size, Duration.ofSeconds(3));
    }
}
