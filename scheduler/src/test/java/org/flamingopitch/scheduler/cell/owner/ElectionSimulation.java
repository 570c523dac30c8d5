package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.loop.TimerQueue;
import org.flamingopitch.scheduler.cell.FakeStore;

/**
 * Hosts that take part in the election of one cell against a store whose calls are late, lost before or after their
 * execution, carried out late and repeated, as drawn from a seed. Hosts end and start again, all leases end early,
 * and watches lose their history, so that the key is listed anew.
 */
final class ElectionSimulation {

    private static final Duration STEP = Duration.ofMillis(10);

    private static final int MAX_DELAY_MILLIS = 40;

    /** A call that is late arrives within this time, after its caller was told that it failed or before. */
    private static final int MAX_LATE_MILLIS = 2_500;

    private static final int MAX_TIMEOUT_MILLIS = 1_500;

    private final SplittableRandom random;

    private final FakeStore store = new FakeStore();

    private final TimerQueue network = new TimerQueue();

    private final List<Host> hosts = new ArrayList<>();

    /** When the owner's key last had a version. */
    private final Map<Long, Instant> lastPresentAt = new HashMap<>();

    private final Map<Long, Host> electedByVersion = new HashMap<>();

    private Instant now = Instant.parse("2026-01-01T00:00:00Z");

    /** The share of the calls that meet trouble. */
    private double trouble;

    private int processes;

    ElectionSimulation(long seed) {
        random = new SplittableRandom(seed);
        store.setLeasesExpire(true);
        store.advance(now);
        int count = 1 + random.nextInt(3);
        for (int number = 0; number < count; number++) {
            hosts.add(new Host(number));
        }
    }

    /** Plays events and trouble of all kinds for a time. */
    void playTrouble(Duration time) {
        trouble = 0.1 + 0.5 * random.nextDouble();
        double eventsPerStep = 0.02 * random.nextDouble();
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            step();
            if (random.nextDouble() < eventsPerStep) {
                playEvent();
            }
        }
    }

    /** Ends all hosts but the first one, and lets the store answer from now on; calls under way may still be late. */
    void calmWithOneHost() {
        trouble = 0;
        hosts.subList(1, hosts.size()).forEach(host -> host.ended = true);
        hosts.subList(1, hosts.size()).clear();
    }

    /** Returns the time until the first host owns the cell, or null if that takes longer than a limit. */
    Duration timeUntilOwned(Duration limit) {
        Instant start = now;
        while (now.isBefore(start.plus(limit))) {
            if (confirmedOwner(hosts.get(0))) {
                return Duration.between(start, now);
            }
            step();
        }
        return null;
    }

    void advance(Duration time) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            step();
        }
    }

    boolean owned() {
        return confirmedOwner(hosts.get(0));
    }

    int elections() {
        return electedByVersion.size();
    }

    private boolean confirmedOwner(Host host) {
        return host.election.owning() && host.ownedVersion == keyVersion();
    }

    private long keyVersion() {
        return store.apply(new KeyValueRequest.Get(CellKeys.OWNER)) instanceof KeyValueResult.Found found
                ? found.entry().version()
                : 0;
    }

    private void step() {
        now = now.plus(STEP);
        store.advance(now);
        network.runDue(now);
        for (Host host : List.copyOf(hosts)) {
            host.timers.runDue(now);
            host.answerWatch();
        }
        lastPresentAt.put(keyVersion(), now);
        hosts.forEach(this::expectNoConfirmationAfterItsKeyHasGone);
    }

    /** An owner that takes itself for confirmed after its key has gone may act beside its successor. */
    private void expectNoConfirmationAfterItsKeyHasGone(Host host) {
        if (!host.election.owning() || host.ownedVersion == keyVersion()) {
            return;
        }
        Instant last = lastPresentAt.getOrDefault(host.ownedVersion, Instant.MIN);
        assertThat(host.election.confirmedAt())
                .as("confirmation of %s at version %d, whose key has gone", host.record, host.ownedVersion)
                .isBeforeOrEqualTo(last.plus(STEP));
    }

    private void playEvent() {
        int index = random.nextInt(hosts.size());
        Host host = hosts.get(index);
        switch (random.nextInt(7)) {
            case 0 -> store.endLeases();
            case 1 -> store.dropHistory();
            case 2 -> host.election.stepDown("test");
            case 3 -> host.election.requireConfirmation();
            case 4 -> {
                host.ended = true;
                hosts.set(index, new Host(host.number));
            }
            case 5 -> handOver(host);
            default -> host.failWatch();
        }
    }

    /** Hands the cell to a host; the owner declines in some cases, and does not learn of the request in others. */
    private void handOver(Host successor) {
        successor.election.prepareHandover(lease -> {
            Host owner = hosts.stream()
                    .filter(each -> each.election.owning())
                    .findFirst()
                    .orElse(null);
            int outcome = random.nextInt(3);
            if (lease.isPresent() && owner != null && owner != successor && outcome == 0) {
                owner.election.handOver(successor.record, lease.get());
            } else if (outcome == 1) {
                successor.election.cancelHandover();
            }
        });
    }

    private static KeyValueResult failed() {
        return new KeyValueResult.Failed(new Failure("store", "fake", "no answer"));
    }

    /** One process of a host. */
    private final class Host implements LoopContext, ElectionListener {

        private final int number;

        private final OwnerRecord record;

        private final Election election;

        private final TimerQueue timers = new TimerQueue();

        private boolean ended;

        private long ownedVersion;

        private KeyValueRequest.Watch watch;

        private Consumer<KeyValueResult> watchHandler;

        private Instant watchEnd;

        Host(int number) {
            this.number = number;
            processes++;
            this.record = new OwnerRecord(new ProcessId("h" + number + "." + processes), "h" + number + ":1", 1);
            this.election = new Election(this, record, this);
            election.start();
        }

        @Override
        public Instant now() {
            return now;
        }

        @Override
        public void schedule(Duration delay, Runnable action) {
            timers.add(now.plus(delay), action);
        }

        @Override
        public void callStore(KeyValueRequest request, Consumer<KeyValueResult> handler) {
            if (request instanceof KeyValueRequest.Watch newWatch) {
                watch = newWatch;
                watchHandler = handler;
                watchEnd = now.plus(newWatch.maxWait());
                return;
            }
            if (random.nextDouble() >= trouble) {
                execute(request, delay(MAX_DELAY_MILLIS), handler);
                return;
            }
            switch (random.nextInt(5)) {
                // Lost before it reaches the store.
                case 0 -> answer(delay(MAX_TIMEOUT_MILLIS), failed(), handler);
                // Executed, and the answer is lost.
                case 1 ->
                    execute(
                            request,
                            delay(MAX_DELAY_MILLIS),
                            result -> answer(delay(MAX_TIMEOUT_MILLIS), failed(), handler));
                // The caller is told that it failed, and it is carried out late.
                case 2 -> {
                    execute(request, delay(MAX_LATE_MILLIS), result -> {});
                    answer(delay(MAX_TIMEOUT_MILLIS), failed(), handler);
                }
                // Executed twice, and the answer to either is returned.
                case 3 -> {
                    boolean first = random.nextBoolean();
                    execute(request, delay(MAX_DELAY_MILLIS), first ? handler : result -> {});
                    execute(request, delay(MAX_TIMEOUT_MILLIS), first ? result -> {} : handler);
                }
                // Executed and answered late.
                default ->
                    execute(
                            request,
                            delay(MAX_TIMEOUT_MILLIS),
                            result -> answer(delay(MAX_TIMEOUT_MILLIS), result, handler));
            }
        }

        private Duration delay(int maxMillis) {
            return Duration.ofMillis(1 + random.nextInt(maxMillis));
        }

        private void execute(KeyValueRequest request, Duration delay, Consumer<KeyValueResult> handler) {
            network.add(
                    now.plus(delay),
                    () -> answer(
                            Duration.ofMillis(1 + random.nextInt(MAX_DELAY_MILLIS)), store.apply(request), handler));
        }

        private void answer(Duration delay, KeyValueResult result, Consumer<KeyValueResult> handler) {
            network.add(now.plus(delay), () -> {
                if (!ended) {
                    handler.accept(result);
                }
            });
        }

        /** Answers the watch if the key has changed or the watch has waited long enough, or lets it fail. */
        private void answerWatch() {
            if (watch == null) {
                return;
            }
            KeyValueResult result = store.apply(watch);
            boolean changed = !(result instanceof KeyValueResult.Listed listed)
                    || !listed.entries().isEmpty();
            if (!changed && now.isBefore(watchEnd)) {
                return;
            }
            watch = null;
            Duration delay = delay(random.nextDouble() < trouble ? MAX_TIMEOUT_MILLIS : MAX_DELAY_MILLIS);
            answer(delay, random.nextDouble() < trouble / 2 ? failed() : result, watchHandler);
        }

        private void failWatch() {
            if (watch != null) {
                watch = null;
                answer(delay(MAX_DELAY_MILLIS), failed(), watchHandler);
            }
        }

        @Override
        public void elected(long version) {
            ownedVersion = version;
            Host other = electedByVersion.put(version, this);
            assertThat(other)
                    .as("the process elected before at version %d", version)
                    .isNull();
        }

        @Override
        public void formerOwnerIdentified(FormerOwner owner) {}

        @Override
        public void deposed(String cause) {}

        @Override
        public void ownerChanged() {}
    }
}
