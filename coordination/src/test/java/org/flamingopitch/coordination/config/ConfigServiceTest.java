package org.flamingopitch.coordination.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.kv.StoreWatcher;
import org.flamingopitch.coordination.loop.TimerQueue;
import org.flamingopitch.coordination.ownership.FakeStore;

/**
 * Concurrent proposals, lost requests and answers, and outdated envelopes: each version is accepted once, and the
 * version in force in a process never decreases.
 */
final class ConfigServiceTest {

    @Property(tries = 300, seed = "20260105")
    void concurrentProposalsWithLostCallsAcceptEachVersionOnceAndNeverLowerTheVersion(
            @ForAll long seed, @ForAll @IntRange(max = 60) int lossPercent) {
        SplittableRandom random = new SplittableRandom(seed);
        FakeStore store = new FakeStore();
        List<SimulatedProcess> processes = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            processes.add(new SimulatedProcess(store, "process-" + i, random, lossPercent));
        }
        List<Long> acceptedVersions = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            SimulatedProcess process = processes.get(random.nextInt(3));
            if (random.nextInt(3) == 0) {
                propose(process, acceptedVersions, i);
            }
            SimulatedProcess receiver = processes.get(random.nextInt(3));
            receiver.service.applyIfNewer(process.service.envelope());
            store.advance(Duration.ofMillis(100));
            processes.forEach(SimulatedProcess::runDueTimers);
        }
        processes.forEach(
                process -> assertThat(process.versionsInForce).isSorted().doesNotHaveDuplicates());
        assertThat(new HashSet<>(acceptedVersions)).hasSize(acceptedVersions.size());
    }

    private static void propose(SimulatedProcess process, List<Long> acceptedVersions, int number) {
        long expected = process.service.envelope().version();
        process.service.propose("document-" + number, expected, "operator", outcome -> {
            if (outcome instanceof ConfigOutcome.Accepted accepted) {
                acceptedVersions.add(accepted.version());
            }
        });
    }

    private static final class SimulatedProcess implements LoopContext {

        private final FakeStore store;

        private final SplittableRandom random;

        private final int lossPercent;

        private final TimerQueue timers = new TimerQueue();

        private final List<Long> versionsInForce = new ArrayList<>();

        private final ConfigService<String> service;

        private SimulatedProcess(FakeStore store, String name, SplittableRandom random, int lossPercent) {
            this.store = store;
            this.random = random;
            this.lossPercent = lossPercent;
            StoreWatcher watcher = new StoreWatcher(this, "config");
            service = new ConfigService<>(this, watcher, "config", name, document -> document);
            service.addListener(
                    document -> versionsInForce.add(service.envelope().version()));
            watcher.start();
        }

        private void runDueTimers() {
            timers.runDue(store.now());
        }

        @Override
        public Instant now() {
            return store.now();
        }

        @Override
        public void schedule(Duration delay, Runnable action) {
            timers.add(now().plus(delay), action);
        }

        @Override
        public void callStore(KeyValueRequest request, Consumer<KeyValueResult> handler) {
            boolean watch = request instanceof KeyValueRequest.Watch;
            boolean lost = !watch && random.nextInt(100) < lossPercent;
            boolean takesEffect = !lost || random.nextBoolean();
            if (takesEffect) {
                store.call(
                        request,
                        result -> schedule(
                                Duration.ofMillis(10), () -> handler.accept(lost ? FakeStore.failed() : result)));
            } else {
                schedule(Duration.ofMillis(10), () -> handler.accept(FakeStore.failed()));
            }
        }
    }
}
