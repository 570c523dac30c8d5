package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.model.ServiceName;
import org.junit.jupiter.api.Test;

/**
 * Tests drawn sessions in which versions move a queue between services, hosts receive them late, and owners are lost: no
 * accepted job stays bound to a former service, and none starts on a service that only versions older than those of the
 * owner and of the host which received it name.
 */
final class MovedQueueSessionTest {

    private static final int SEEDS = Integer.getInteger("movedQueue.seeds", 400);

    private static final long FIRST_SEED = Long.getLong("movedQueue.seed", 1);

    private static final int HOSTS = 3;

    private static final int SERVICES = 3;

    private static final int STEPS = 60;

    /** The platform counts a job as lost that has nothing running for 3 s. */
    private static final Duration LOST_LIMIT = Duration.ofSeconds(3);

    @Test
    void noJobIsLeftOnOrSentToAServiceOfAnOlderConfiguration() {
        assertThat(FailingSeeds.of(FIRST_SEED, SEEDS, seed -> new Session(seed).play()))
                .as("failures by seed")
                .isEmpty();
    }

    private static final class Session {

        private final SplittableRandom random;

        private final CellSession cell;

        /** The service of the queue by version. */
        private final TreeMap<Long, String> services = new TreeMap<>();

        /** The version that each running host has received. */
        private final Map<String, Long> hostVersions = new LinkedHashMap<>();

        /** The newer one of the versions of the host that received a job and of the owner at that time. */
        private final Map<String, Long> jobVersions = new HashMap<>();

        private final Map<String, List<CallerReply>> replies = new LinkedHashMap<>();

        private int startedHosts;

        private Session(long seed) {
            random = new SplittableRandom(seed);
            cell = new CellSession(seed);
            cell.store().setLeasesExpire(true);
            services.put(1L, "pool");
            for (int i = 0; i < SERVICES; i++) {
                cell.addWorker("w" + i, 64_000).setService(service(i));
            }
            for (int i = 0; i < HOSTS; i++) {
                addHost();
            }
            cell.advance(Duration.ofSeconds(3));
        }

        private static String service(int index) {
            return index == 0 ? "pool" : "pool" + index;
        }

        private void addHost() {
            String host = "h" + startedHosts;
            startedHosts++;
            cell.addHost(host);
            hostVersions.put(host, 1L);
        }

        private List<String> play() {
            for (int i = 0; i < STEPS; i++) {
                int event = random.nextInt(20);
                if (event < 3) {
                    publishVersion();
                } else if (event < 7) {
                    passVersionTo(randomHost());
                } else if (event < 14) {
                    submit();
                } else if (event == 14) {
                    replaceOwner();
                } else if (event < 17) {
                    setDraining();
                }
                cell.advance(Duration.ofMillis(50 + random.nextInt(450)));
            }
            end();
            return failures();
        }

        private String randomHost() {
            return List.copyOf(hostVersions.keySet()).get(random.nextInt(hostVersions.size()));
        }

        private void publishVersion() {
            long version = services.lastKey() + 1 + random.nextInt(3);
            services.put(version, service(random.nextInt(SERVICES)));
            cell.publish(configuration(version));
        }

        private CellConfiguration configuration(long version) {
            QueueSpec queue = new QueueSpec(
                    new QueueName("q"),
                    "callers.example",
                    "/q/",
                    new ServiceName(services.get(version)),
                    0,
                    3,
                    2,
                    60_000,
                    3_000,
                    false);
            return new CellConfiguration(version, List.of(queue), 100_000);
        }

        /** Passes a version to a host that is newer than what it has, not always the newest one. */
        private void passVersionTo(String host) {
            List<Long> newer =
                    List.copyOf(services.tailMap(hostVersions.get(host), false).keySet());
            if (!newer.isEmpty()) {
                long version = newer.get(random.nextInt(newer.size()));
                cell.node(host).configure(configuration(version));
                hostVersions.put(host, version);
            }
        }

        private void submit() {
            String host = randomHost();
            String job = String.format("%016x", replies.size());
            long version = Math.max(hostVersions.get(host), ownerVersion());
            jobVersions.put(job, version);
            replies.put(job, cell.call(host, new CallerOperation.Submit(job()), "/q/" + job));
        }

        private long ownerVersion() {
            return hostVersions.keySet().stream()
                    .filter(host -> cell.node(host).ownsCell())
                    .mapToLong(hostVersions::get)
                    .max()
                    .orElse(1);
        }

        private JobSpec job() {
            return CellSession.job(1 + random.nextInt(2), 500, random.nextInt(4) == 0);
        }

        /** Ends the owner; a host with the first version takes its place. */
        private void replaceOwner() {
            List<String> owners = hostVersions.keySet().stream()
                    .filter(host -> cell.node(host).ownsCell())
                    .toList();
            for (String owner : owners) {
                cell.killHost(owner);
                hostVersions.remove(owner);
                addHost();
            }
        }

        private void setDraining() {
            for (int i = 0; i < SERVICES; i++) {
                cell.worker("w" + i).setDraining(random.nextInt(3) == 0);
            }
        }

        /** Lets all hosts have the newest version and only workers of its service accept tasks, without further events. */
        private void end() {
            CellConfiguration newest = configuration(services.lastKey());
            for (String host : hostVersions.keySet()) {
                cell.node(host).configure(newest);
            }
            for (int i = 0; i < SERVICES; i++) {
                cell.worker("w" + i)
                        .setDraining(!service(i).equals(services.lastEntry().getValue()));
            }
            cell.advance(Duration.ofSeconds(10).plus(LOST_LIMIT));
        }

        private List<String> failures() {
            List<String> found = new ArrayList<>();
            replies.forEach((job, reply) -> {
                boolean accepted = reply.equals(List.of(new CallerReply.Done()));
                if (accepted && cell.running(job).isEmpty()) {
                    found.add("nothing of " + job + " runs");
                }
            });
            for (int i = 0; i < SERVICES; i++) {
                for (String run : cell.worker("w" + i).started()) {
                    long version = jobVersions.get(run.substring(0, run.indexOf('.')));
                    if (!servicesSince(version).contains(service(i))) {
                        found.add(run + " on " + service(i) + ", version " + version);
                    }
                }
            }
            return found;
        }

        private Set<String> servicesSince(long version) {
            return services.tailMap(version, true).values().stream().collect(Collectors.toSet());
        }
    }
}
