package org.flamingopitch.daemon.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.coordination.supervisor.Service;
import org.flamingopitch.daemon.entry.EntryHost;
import org.flamingopitch.daemon.settings.EntryHostSettings;
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
import org.flamingopitch.standins.host.HostListServer;
import org.flamingopitch.standins.kv.KeyValueServer;
import org.flamingopitch.standins.worker.WorkerServer;
import org.flamingopitch.transport.http.HostPort;

/** A deployment in one process: stand-ins of the platform's services, workers in two data centres, and entry hosts. */
public final class DemoPlatform implements Service {

    /** Port 0: the operating system assigns a free port. */
    private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);

    private static final String REGION = "demo-region";

    private static final List<String> DATA_CENTRES = List.of("centre-a", "centre-b");

    private static final Resources WORKER_CAPACITY = new Resources(16_000, 60_000, 2);

    private static final int SLOTS_PER_WORKER = 8;

    private static final int CONNECTIONS_PER_WORKER = 64;

    private static final int SHARD_COUNT = 4;

    private final TimeSource clock;

    private final int workersPerDataCentre;

    private final int hostCount;

    private final List<Service> services = new ArrayList<>();

    private final List<EntryHost> hosts = new ArrayList<>();

    private final List<WorkerServer> workers = new ArrayList<>();

    private KeyValueServer store;

    private HostListServer hostList;

    /**
     * Creates a deployment that is not started yet.
     *
     * @param clock the clock of all services
     * @param workersPerDataCentre the number of workers in each of two data centres
     * @param hostCount the number of entry hosts
     */
    public DemoPlatform(TimeSource clock, int workersPerDataCentre, int hostCount) {
        this.clock = clock;
        this.workersPerDataCentre = workersPerDataCentre;
        this.hostCount = hostCount;
    }

    @Override
    public String name() {
        return "demo";
    }

    @Override
    public void start() {
        store = startAndRegister(new KeyValueServer(ANY_PORT, clock));
        hostList = startAndRegister(new HostListServer(ANY_PORT));
        for (String dataCentre : DATA_CENTRES) {
            for (int i = 1; i <= workersPerDataCentre; i++) {
                workers.add(startAndRegister(new WorkerServer(dataCentre + "-w" + i, ANY_PORT, clock)));
            }
        }
        for (int i = 0; i < hostCount; i++) {
            String dataCentre = DATA_CENTRES.get(i % DATA_CENTRES.size());
            EntryHostSettings settings = new EntryHostSettings(
                    "entry-" + (i + 1),
                    dataCentre,
                    REGION,
                    ANY_PORT.toString(),
                    ANY_PORT.toString(),
                    ANY_PORT.toString(),
                    store.address().toString(),
                    hostList.address().toString(),
                    null,
                    null);
            hosts.add(startAndRegister(new EntryHost(settings, clock, cause -> {})));
        }
    }

    @Override
    public void stop() {
        for (int i = services.size() - 1; i >= 0; i--) {
            services.get(i).stop();
        }
        services.clear();
    }

    /**
     * Returns the running entry hosts.
     *
     * @return the entry hosts, in the order of their names
     */
    public List<EntryHost> hosts() {
        return hosts;
    }

    /**
     * Returns the running workers.
     *
     * @return the workers, those of the first data centre first
     */
    public List<WorkerServer> workers() {
        return workers;
    }

    /**
     * Returns the address of the key-value service.
     *
     * @return the bound address
     */
    public HostPort storeAddress() {
        return store.address();
    }

    /**
     * Returns the number of shards in the configuration.
     *
     * @return the number of shards
     */
    public int shardCount() {
        return SHARD_COUNT;
    }

    /**
     * Returns the address of the service that lists the hosts.
     *
     * @return the bound address
     */
    public HostPort hostListAddress() {
        return hostList.address();
    }

    /**
     * Returns a configuration with the inventory of this deployment and rules for four kinds of work.
     *
     * @return the configuration as JSON
     */
    public String configurationJson() {
        List<DataCentreSpec> dataCentres = new ArrayList<>();
        for (int index = 0; index < DATA_CENTRES.size(); index++) {
            List<WorkerSpec> specs = new ArrayList<>();
            for (WorkerServer worker :
                    workers.subList(index * workersPerDataCentre, (index + 1) * workersPerDataCentre)) {
                specs.add(new WorkerSpec(
                        new WorkerId(worker.name()),
                        worker.address().toString(),
                        WORKER_CAPACITY,
                        SLOTS_PER_WORKER,
                        CONNECTIONS_PER_WORKER));
            }
            RackSpec rack = new RackSpec("rack-1", specs);
            dataCentres.add(new DataCentreSpec(DATA_CENTRES.get(index), REGION, List.of(rack)));
        }
        Configuration configuration = new Configuration(REGION, SHARD_COUNT, dataCentres, rules());
        return JsonCodec.json().encode(configuration);
    }

    private static Rules rules() {
        Resources small = new Resources(500, 256, 0);
        Resources large = new Resources(4_000, 8_000, 1);
        List<KindRule> kinds = List.of(
                kindRule("price-check", Urgency.URGENT, Repeatability.REPEATABLE, small, Duration.ofSeconds(2)),
                kindRule("booking-hold", Urgency.URGENT, Repeatability.NEVER_REPEATED, small, Duration.ofSeconds(3)),
                kindRule("render", Urgency.DEFERRABLE, Repeatability.REPEATABLE, large, Duration.ofHours(8)),
                kindRule("carving", Urgency.DEFERRABLE, Repeatability.NEVER_REPEATED, large, Duration.ofHours(8)));
        return new Rules(kinds, 2, 256);
    }

    private static KindRule kindRule(
            String name, Urgency urgency, Repeatability repeatability, Resources size, Duration deadline) {
        return new KindRule(new KindName(name), urgency, repeatability, size, deadline);
    }

    private <T extends Service> T startAndRegister(T service) {
        service.start();
        services.add(service);
        return service;
    }
}
