package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.junit.jupiter.api.Test;

/**
 * Tests drawn sessions in which all open connections go silent, to workers, store and hosts, also twice within seconds,
 * beside a worker that is lost and around takeovers.
 */
final class SilentConnectionSessionTest {

    private static final int SEEDS = Integer.getInteger("silentConnection.seeds", 200);

    private static final long FIRST_SEED = Long.getLong("silentConnection.seed", 1);

    private static final int WORKERS = 5;

    private static final int EVENTS = 30;

    private static final String LASTING_JOB = "ffffffffffffffff";

    private static final int LASTING_TASKS = 3;

    private static final Duration STEP = Duration.ofMillis(20);

    /** The platform counts a job as lost that has nothing running for 3 s. */
    private static final Duration LOST_LIMIT = Duration.ofSeconds(3);

    /** The platform's rules judge times from this long after a disruption on. */
    private static final Duration CALM_DELAY = Duration.ofSeconds(4);

    /** The platform removes the entry of a worker after three heartbeats without one. */
    private static final Duration ENTRY_EXPIRY = Duration.ofMillis(4_500);

    /** How long after the loss of a worker or an owner only the checks hold that concern second runs. */
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(12);

    @Test
    void silentConnectionsNeitherDelayStartsNorEndLeasesNorCauseSecondRuns() {
        assertThat(FailingSeeds.of(FIRST_SEED, SEEDS, seed -> new Session(seed).play()))
                .as("failures by seed")
                .isEmpty();
    }

    private static final class Session {

        private final SplittableRandom random;

        private final CellSession cell;

        private final Map<String, List<CallerReply>> replies = new LinkedHashMap<>();

        /** For how long each accepted job that has not begun has had nothing running. */
        private final Map<String, Duration> idleFor = new LinkedHashMap<>();

        private final Set<String> begun = new HashSet<>();

        private final Set<String> failures = new HashSet<>();

        private Duration time = Duration.ZERO;

        private Duration disturbedUntil = Duration.ZERO;

        private int crashedWorker = -1;

        private Duration entryExpiresAt = Duration.ZERO;

        private int startedHosts;

        private final List<String> hosts = new ArrayList<>();

        private Session(long seed) {
            random = new SplittableRandom(seed);
            cell = new CellSession(seed);
            cell.store().setLeasesExpire(true);
            cell.liveWorkers().setOffered(true);
            for (int i = 0; i < WORKERS; i++) {
                cell.addWorker("w" + i, 16_000).setDurations((task, run) -> duration(task));
            }
            for (int i = 0; i < 3; i++) {
                addHost();
            }
            cell.advance(Duration.ofSeconds(3));
            submit(LASTING_JOB, true, LASTING_TASKS);
            cell.advance(Duration.ofSeconds(1));
        }

        private static long duration(TaskRef task) {
            return task.job().value().equals(LASTING_JOB) ? Long.MAX_VALUE / 2 : 300 + 200L * task.index();
        }

        private void addHost() {
            String host = "h" + startedHosts;
            startedHosts++;
            cell.addHost(host);
            hosts.add(host);
        }

        private Set<String> play() {
            for (int i = 0; i < EVENTS; i++) {
                int event = random.nextInt(12);
                if (event < 4) {
                    silenceConnections();
                } else if (event == 4) {
                    loseWorker();
                } else if (event == 5) {
                    replaceOwner();
                }
                if (random.nextInt(3) > 0) {
                    submit(String.format("%016x", replies.size()), false, 1 + random.nextInt(4));
                }
                int pauses = random.nextInt(4) == 0 ? 15_000 : 1_500;
                advance(Duration.ofMillis(random.nextInt(pauses)));
            }
            advance(RECOVERY_TIME.plus(LOST_LIMIT));
            return failures;
        }

        private void submit(String job, boolean lasting, int count) {
            String host = hosts.get(random.nextInt(hosts.size()));
            replies.put(
                    job,
                    cell.call(host, new CallerOperation.Submit(CellSession.job(count, 1_000, lasting)), "/q/" + job));
        }

        private void silenceConnections() {
            cell.silenceConnections();
            disturbUntil(time.plus(CALM_DELAY));
        }

        private void disturbUntil(Duration end) {
            disturbedUntil = end.compareTo(disturbedUntil) > 0 ? end : disturbedUntil;
        }

        private void loseWorker() {
            if (crashedWorker >= 0) {
                cell.worker("w" + crashedWorker).restart();
                cell.worker("w" + crashedWorker).setListed(true);
            }
            crashedWorker = random.nextInt(WORKERS);
            cell.worker("w" + crashedWorker).crash();
            entryExpiresAt = time.plus(ENTRY_EXPIRY);
            disturbUntil(time.plus(RECOVERY_TIME));
        }

        private void replaceOwner() {
            for (String host : List.copyOf(hosts)) {
                if (cell.node(host).ownsCell()) {
                    cell.killHost(host);
                    hosts.remove(host);
                    addHost();
                    disturbUntil(time.plus(RECOVERY_TIME));
                }
            }
        }

        private void advance(Duration period) {
            for (Duration end = time.plus(period); time.compareTo(end) < 0; time = time.plus(STEP)) {
                if (crashedWorker >= 0 && time.compareTo(entryExpiresAt) >= 0) {
                    cell.worker("w" + crashedWorker).setListed(false);
                }
                cell.advance(STEP);
                check();
            }
        }

        private void check() {
            Set<TaskRef> running = new HashSet<>();
            for (int i = 0; i < WORKERS; i++) {
                FakeWorker worker = cell.worker("w" + i);
                for (TaskRef task : worker.running()) {
                    begun.add(task.job().value());
                    if (!running.add(task)) {
                        failures.add(task + " runs twice");
                    }
                }
                worker.ended().stream()
                        .filter(end -> end.kind() == EndKind.LAPSED && !disturbed())
                        .forEach(end -> failures.add("the lease of " + end.task() + " lapsed"));
            }
            replies.forEach((job, reply) -> {
                boolean accepted = reply.equals(List.of(new CallerReply.Done()));
                if (!accepted || begun.contains(job) || disturbed()) {
                    idleFor.remove(job);
                } else if (idleFor.merge(job, STEP, Duration::plus).compareTo(LOST_LIMIT) > 0) {
                    failures.add(job + " has not begun");
                }
            });
        }

        private boolean disturbed() {
            return time.compareTo(disturbedUntil) < 0;
        }
    }
}
