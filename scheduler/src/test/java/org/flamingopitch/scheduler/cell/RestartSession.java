package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;

/**
 * Draws a session in which owners of a cell follow each other: hosts restart, owners die at their election or live on
 * without the store, commits are executed late. Each worker is reached by one host only, which goes on with its leases,
 * or by the hosts that the seed selects. Fails when a task runs on two workers.
 */
final class RestartSession {

    private static final List<String> HOSTS = List.of("h1", "h2", "h3");

    private static final String STRONG_HOST = "h4";

    private static final Duration STEP = Duration.ofMillis(5);

    private static final int LENGTH_MILLIS = 45_000;

    private static final int MAX_PAUSE_MILLIS = 6_000;

    private static final int MAX_DOWN_MILLIS = 5_000;

    private static final int MAX_CUT_MILLIS = 9_000;

    private static final int MAX_RESET_MILLIS = 3_000;

    private final CellSession session;

    private final SplittableRandom random;

    private final String job;

    private final List<String> up = new ArrayList<>(HOSTS);

    /** When each host that is down is started. */
    private final Map<String, Integer> startMillis = new HashMap<>();

    /** When each host that is cut off from the store is connected again. */
    private final Map<String, Integer> reconnectMillis = new HashMap<>();

    private int storeResetUntil;

    private int nextActionAt;

    private int millis;

    /** How many owners more die, or lose the store, as soon as they are elected. */
    private int electionsToFail;

    private String lastOwner = "";

    RestartSession(CellSession session, SplittableRandom random, String job) {
        this.session = session;
        this.random = random;
        this.job = job;
    }

    void play() {
        session.store().setLeasesExpire(true);
        for (String worker : List.of("w1", "w2", "w3")) {
            session.addWorker(worker, 4_000).setClockRate(random.nextBoolean() ? 0.98 : 1);
        }
        HOSTS.forEach(session::addHost);
        session.advance(Duration.ofMillis(2_000 + random.nextInt(10_000)));
        CallerOperation submission = new CallerOperation.Submit(CellSession.job(2, 1_000, true));
        session.call("h1", submission, "/q/" + job);
        session.advance(Duration.ofMillis(500));
        assertThat(session.running(job)).hasSize(2);
        cutWorkersFromOtherHosts();
        boolean handover = random.nextInt(4) == 0;
        int handoverAt = random.nextInt(LENGTH_MILLIS / 2);
        for (millis = 0; millis < LENGTH_MILLIS; millis += (int) STEP.toMillis()) {
            if (handover && millis >= handoverAt) {
                handover = false;
                session.addHost(STRONG_HOST, 4);
                up.add(STRONG_HOST);
            }
            endDisruptions();
            if (millis >= nextActionAt) {
                disrupt();
                nextActionAt = millis + random.nextInt(MAX_PAUSE_MILLIS);
            }
            disruptOwnerAtItsElection();
            advanceBySteps(1);
        }
    }

    private void advanceBySteps(int count) {
        for (int i = 0; i < count; i++) {
            session.advance(STEP);
            assertThat(session.running(job)).doesNotHaveDuplicates();
        }
    }

    private String owner() {
        return up.stream()
                .filter(host -> session.node(host).ownsCell())
                .findFirst()
                .orElse("");
    }

    /** Most links of other hosts to the workers with tasks are lost; the third worker has room for what is over. */
    private void cutWorkersFromOtherHosts() {
        String owner = owner();
        for (String worker : List.of("w1", "w2", "w3")) {
            boolean used = !session.worker(worker).running().isEmpty();
            for (String host : List.of("h1", "h2", "h3", STRONG_HOST)) {
                if (used && !host.equals(owner) && random.nextInt(4) > 0) {
                    session.partitions().cutFromWorker(host, worker);
                }
            }
        }
    }

    private void disrupt() {
        switch (random.nextInt(6)) {
            case 0 ->
                List.copyOf(up).stream().filter(host -> random.nextInt(3) > 0).forEach(this::kill);
            case 1 -> {
                String owner = owner();
                if (!owner.isEmpty()) {
                    kill(owner);
                }
            }
            case 2, 3 -> cutOwnerAndRestartTheOthers();
            case 4 -> {
                session.setStoreConnectionsReset(true);
                storeResetUntil = millis + random.nextInt(MAX_RESET_MILLIS);
            }
            default -> electionsToFail = 1 + random.nextInt(2);
        }
    }

    private void cutOwnerAndRestartTheOthers() {
        String owner = owner();
        if (owner.isEmpty()) {
            return;
        }
        cutFromStore(owner);
        electionsToFail = random.nextInt(3);
        if (random.nextBoolean()) {
            List.copyOf(up).stream().filter(host -> !host.equals(owner)).forEach(this::kill);
        }
    }

    private void cutFromStore(String host) {
        session.partitions().cutFromStore(host);
        reconnectMillis.put(host, millis + random.nextInt(MAX_CUT_MILLIS));
    }

    /** The owner that the store has elected last dies or loses the store before or shortly after its first commit. */
    private void disruptOwnerAtItsElection() {
        for (String host : List.copyOf(up)) {
            if (session.node(host).ownsCell() && !host.equals(lastOwner)) {
                lastOwner = host;
                if (electionsToFail > 0) {
                    electionsToFail--;
                    advanceBySteps(random.nextInt(5));
                    if (random.nextBoolean()) {
                        kill(host);
                    } else {
                        cutFromStore(host);
                    }
                }
            }
        }
    }

    private void kill(String host) {
        up.remove(host);
        session.killHost(host);
        session.partitions().reconnectToStore(host);
        reconnectMillis.remove(host);
        startMillis.put(host, millis + 100 + random.nextInt(MAX_DOWN_MILLIS));
        if (lastOwner.equals(host)) {
            lastOwner = "";
        }
    }

    private void endDisruptions() {
        List.copyOf(startMillis.keySet()).stream()
                .sorted()
                .filter(host -> millis >= startMillis.get(host))
                .forEach(host -> {
                    startMillis.remove(host);
                    session.addHost(host, host.equals(STRONG_HOST) ? 4 : 1);
                    up.add(host);
                });
        List.copyOf(reconnectMillis.keySet()).stream()
                .filter(host -> millis >= reconnectMillis.get(host))
                .forEach(host -> {
                    reconnectMillis.remove(host);
                    session.partitions().reconnectToStore(host);
                });
        if (millis >= storeResetUntil) {
            session.setStoreConnectionsReset(false);
        }
    }
}
