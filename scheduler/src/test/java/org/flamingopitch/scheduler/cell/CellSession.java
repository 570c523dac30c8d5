package org.flamingopitch.scheduler.cell;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.loop.TimerQueue;
import org.flamingopitch.scheduler.cell.entry.CallerJobRequest;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.entry.CellNode;
import org.flamingopitch.scheduler.cell.entry.ForwardOutcome;
import org.flamingopitch.scheduler.cell.entry.OwnerClient;
import org.flamingopitch.scheduler.cell.feature.FeatureGates;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.flamingopitch.scheduler.cell.owner.JobRequest;
import org.flamingopitch.scheduler.cell.owner.OwnerRecord;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.port.ConfigurationSource;
import org.flamingopitch.scheduler.cell.port.LiveWorkerSource;
import org.flamingopitch.scheduler.cell.port.OwnerMetrics;
import org.flamingopitch.scheduler.cell.port.WorkerAnswer;
import org.flamingopitch.scheduler.cell.port.WorkerListing;
import org.flamingopitch.scheduler.cell.port.WorkerOrder;
import org.flamingopitch.scheduler.cell.port.WorkerTarget;

/** A simulated cell: hosts, workers and a store on one clock that the test advances, without network and threads. */
public final class CellSession {

    /** The round-trip latency of a call to the store, and the one-way latency of a call to a worker or another host. */
    public static final Duration CALL_LATENCY = Duration.ofMillis(3);

    /** The time after which a call without an answer fails. */
    static final Duration CALL_TIMEOUT = Duration.ofMillis(700);

    private static final String STORE = "store";

    private static final Duration TICK = Duration.ofMillis(5);

    /** How often the store looks for changes while a watch call waits. */
    private static final Duration WATCH_CHECK_INTERVAL = Duration.ofMillis(15);

    /** The longest time after which a call whose connection was reset is executed nevertheless. */
    private static final int MAX_LATE_EXECUTION_MILLIS = 3_000;

    private static final Instant START_TIME = Instant.parse("2026-01-01T00:00:00Z");

    private final FakeStore store = new FakeStore();

    private final Map<String, FakeWorker> workers = new LinkedHashMap<>();

    private final Map<String, Host> hosts = new LinkedHashMap<>();

    private final TimerQueue pendingCalls = new TimerQueue();

    private final Partitions partitions = new Partitions();

    private final SplittableRandom random;

    private final RecordedMetrics metrics = new RecordedMetrics();

    private final FakeLiveWorkers liveWorkers = new FakeLiveWorkers();

    private final StoredConfigurations configurations = new StoredConfigurations();

    private Instant now = START_TIME;

    private CellConfiguration configuration = InitialConfiguration.create();

    private int startedHosts;

    private boolean storeConnectionsReset;

    private FeatureGates gates = FeatureGates.ALL_ON;

    private int maxExtraLatencyMillis;

    private double farFactor = 1;

    /** Creates a session in which every call takes the same time. */
    public CellSession() {
        this(0);
    }

    /**
     * Creates a session.
     *
     * @param seed decides the fates of calls while connections are reset, and the latencies if they vary
     */
    public CellSession(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * Sets whether the connections of all calls to the store are reset: a call fails at once, but may have been
     * executed, or may be executed up to three seconds later.
     */
    void setStoreConnectionsReset(boolean areReset) {
        storeConnectionsReset = areReset;
    }

    /** Returns whether the connections of all calls to the store are reset. */
    boolean storeConnectionsReset() {
        return storeConnectionsReset;
    }

    /** Lets the latency of each call to the store vary by up to the given time. */
    void varyStoreLatency(Duration maxExtra) {
        maxExtraLatencyMillis = (int) maxExtra.toMillis();
    }

    /** Sets the gates of the hosts that are added after this call. */
    void setGates(FeatureGates featureGates) {
        gates = featureGates;
    }

    /** Sets the factor on the duration of tasks outside their rack, for the hosts that are added later. */
    void setFarFactor(double factor) {
        farFactor = factor;
    }

    /** Adds a worker with that processor time in thousandths of a core. */
    FakeWorker addWorker(String name, long milliCores) {
        return addWorker(name, name + ":1", milliCores);
    }

    /**
     * Adds a worker at an address, which a former worker may have had.
     *
     * @param name its name
     * @param address its address
     * @param milliCores its processor time in thousandths of a core
     * @return the worker
     */
    public FakeWorker addWorker(String name, String address, long milliCores) {
        FakeWorker worker = new FakeWorker(name, address, milliCores);
        workers.put(name, worker);
        return worker;
    }

    /** Removes a worker and its registration. */
    void removeWorker(String name) {
        workers.remove(name);
    }

    /** Adds a host and starts it. */
    void addHost(String name) {
        addHost(name, 1);
    }

    /**
     * Adds a host and starts it.
     *
     * @param name its name
     * @param processors its processor time in processors
     */
    public void addHost(String name, double processors) {
        Host host = new Host(name, processors);
        hosts.put(name, host);
        host.node.start();
        EvacuationRequests.watch(host, host.node);
        host.node.configure(configuration);
    }

    /** Simulates a crash of a host: its leases in the store stay, and answers to it are dropped. */
    void killHost(String name) {
        hosts.remove(name).killed = true;
    }

    /**
     * Simulates a suspension of a host: its monotonic clock and its timers stand still, while the time of day, the store
     * and the workers go on. Answers reach it when it wakes.
     *
     * @param name its name
     * @param time how long it is suspended
     */
    public void suspendHost(String name, Duration time) {
        Host host = hosts.get(name);
        host.suspended = true;
        advance(time);
        host.suspended = false;
        host.suspendedFor = host.suspendedFor.plus(time);
    }

    /** Changes the configuration of all hosts. */
    void configure(CellConfiguration next) {
        configuration = next;
        publish(next);
        hosts.values().forEach(host -> host.node.configure(next));
    }

    /** Stores a configuration, which no host has received so far. */
    void publish(CellConfiguration next) {
        configurations.publish(store, next);
    }

    /** Returns the cell node of a host. */
    CellNode node(String name) {
        return hosts.get(name).node;
    }

    /** Returns the partitions between hosts, store and workers. */
    Partitions partitions() {
        return partitions;
    }

    /** Returns the store. */
    FakeStore store() {
        return store;
    }

    /** Returns the platform's listing of the workers that it runs. */
    FakeLiveWorkers liveWorkers() {
        return liveWorkers;
    }

    /** Returns the moves of long-running tasks by all owners. */
    RecordedMetrics metrics() {
        return metrics;
    }

    /** Returns a worker. */
    FakeWorker worker(String name) {
        return workers.get(name);
    }

    /** Advances the clock. */
    void advance(Duration time) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(TICK);
            store.advance(now);
            workers.values().forEach(worker -> worker.advance(clockMillis()));
            liveWorkers.advance(workers.values(), clockMillis());
            pendingCalls.runDue(now);
            for (Host host : List.copyOf(hosts.values())) {
                if (!host.suspended) {
                    host.timers.runDue(host.now());
                    host.node.tick();
                }
            }
        }
    }

    /**
     * Sends a caller's request to a host.
     *
     * @param host the host
     * @param operation the operation
     * @param path the path, which names the queue and the job
     * @return a list that receives the reply
     */
    public List<CallerReply> call(String host, CallerOperation operation, String path) {
        return call(host, operation, path, Duration.ofSeconds(3));
    }

    /**
     * Sends a caller's request to a host.
     *
     * @param host the host
     * @param operation the operation
     * @param path the path, which names the queue and the job
     * @param timeout how long the caller waits
     * @return a list that receives the reply
     */
    public List<CallerReply> call(String host, CallerOperation operation, String path, Duration timeout) {
        List<CallerReply> replies = new ArrayList<>();
        hosts.get(host).node.handle(new CallerJobRequest(operation, "callers.example", path, timeout), replies::add);
        return replies;
    }

    /** Lets all open connections go silent for good, while new ones work. */
    void silenceConnections() {
        partitions.silenceConnections(now);
    }

    /**
     * Creates the specification of a job with one step.
     *
     * @param count the number of tasks
     * @param milliCores the processor time of each task in thousandths of a core
     * @param longRunning whether the tasks run until their job is cancelled
     * @return the specification
     */
    public static JobSpec job(int count, long milliCores, boolean longRunning) {
        return new JobSpec("work", List.of(SampleSteps.step(count, milliCores, longRunning, List.of())), 0, 0, 0);
    }

    /**
     * Returns the running tasks of a job.
     *
     * @param job the job's id
     * @return the tasks; a task that runs on two workers occurs twice
     */
    public List<TaskRef> running(String job) {
        return workers.values().stream()
                .map(FakeWorker::running)
                .flatMap(Set::stream)
                .filter(task -> task.job().value().equals(job))
                .toList();
    }

    private long clockMillis() {
        return Duration.between(START_TIME, now).toMillis();
    }

    private final class Host implements CellContext, OwnerClient {

        private final TimerQueue timers = new TimerQueue();

        private final CellNode node;

        private final OwnerRecord self;

        private boolean killed;

        private boolean suspended;

        private Duration suspendedFor = Duration.ZERO;

        private Host(String name, double processors) {
            startedHosts++;
            self = new OwnerRecord(new ProcessId(name + "." + startedHosts), name, processors);
            node = new CellNode(this, this, self, InitialConfiguration.timings(farFactor));
        }

        @Override
        public Instant now() {
            return now.minus(suspendedFor);
        }

        @Override
        public long timeOfDayMillis() {
            return now.toEpochMilli();
        }

        @Override
        public void schedule(Duration delay, Runnable action) {
            timers.add(now().plus(delay), action);
        }

        @Override
        public void callStore(KeyValueRequest request, Consumer<KeyValueResult> handler) {
            Duration extra = Duration.ofMillis(maxExtraLatencyMillis == 0 ? 0 : random.nextInt(maxExtraLatencyMillis));
            Duration latency = CALL_LATENCY.plus(extra);
            if (partitions.losesCall(self.address(), STORE, now)) {
                answer(CALL_TIMEOUT, () -> handler.accept(FakeStore.failure("no answer in time")));
                return;
            }
            if (storeConnectionsReset) {
                resetConnection(request, latency, handler);
                return;
            }
            pendingCalls.add(now.plus(latency), () -> {
                if (!killed) {
                    executeStoreCall(request, now, handler);
                }
            });
        }

        private void executeStoreCall(KeyValueRequest request, Instant receivedAt, Consumer<KeyValueResult> handler) {
            if (storeConnectionsReset || !partitions.reachesStore(self.address(), request)) {
                answer(Duration.ZERO, () -> handler.accept(FakeStore.failure("connection reset")));
                return;
            }
            KeyValueResult result = store.apply(request);
            boolean watchWaits = request instanceof KeyValueRequest.Watch watch
                    && result instanceof KeyValueResult.Listed listed
                    && listed.entries().isEmpty()
                    && now.isBefore(receivedAt.plus(watch.maxWait()));
            if (watchWaits && partitions.silencedSince(receivedAt)) {
                Instant timeoutAt = receivedAt
                        .plus(((KeyValueRequest.Watch) request).maxWait())
                        .plus(CALL_TIMEOUT);
                Duration remaining = Duration.between(now, timeoutAt);
                answer(remaining, () -> handler.accept(FakeStore.failure("no answer in time")));
                return;
            }
            if (watchWaits) {
                answer(WATCH_CHECK_INTERVAL, () -> executeStoreCall(request, receivedAt, handler));
                return;
            }
            Duration answerDelay = result instanceof KeyValueResult.Failed ? CALL_TIMEOUT : Duration.ZERO;
            answer(answerDelay, () -> handler.accept(result));
        }

        private void resetConnection(KeyValueRequest request, Duration latency, Consumer<KeyValueResult> handler) {
            int executionDelay = random.nextInt(2 * MAX_LATE_EXECUTION_MILLIS);
            if (request.changesStore() && executionDelay < MAX_LATE_EXECUTION_MILLIS) {
                pendingCalls.add(now.plusMillis(executionDelay), () -> store.apply(request));
            }
            answer(latency, () -> handler.accept(FakeStore.failure("connection reset")));
        }

        @Override
        public void callWorker(WorkerTarget target, WorkerOrder order, Consumer<WorkerAnswer> handler) {
            FakeWorker worker = workers.get(target.worker().value());
            boolean lost = partitions.losesCall(self.address(), target.worker().value(), now);
            boolean present = worker != null && worker.address().equals(target.address());
            if (lost || !present || !partitions.reachesWorker(self.address(), worker.name())) {
                Failure failure = new Failure("worker", target.address(), "no answer in time");
                answer(CALL_TIMEOUT, () -> handler.accept(new WorkerAnswer.Lost(failure)));
                return;
            }
            pendingCalls.add(now.plus(CALL_LATENCY), () -> {
                WorkerAnswer result = worker.apply(order, clockMillis());
                Duration answerDelay = result instanceof WorkerAnswer.Lost
                        ? CALL_TIMEOUT
                        : partitions.answerLatency(worker.name(), order);
                long life = worker.entry().incarnation();
                Failure reset = new Failure("worker", target.address(), "connection reset");
                answer(
                        answerDelay,
                        () -> handler.accept(
                                worker.entry().incarnation() == life ? result : new WorkerAnswer.Lost(reset)));
            });
        }

        @Override
        public FeatureGates gates() {
            return gates;
        }

        @Override
        public OwnerMetrics metrics() {
            return metrics;
        }

        @Override
        public Optional<LiveWorkerSource> liveWorkers() {
            return liveWorkers.source(workers.values(), clockMillis(), this::answer);
        }

        @Override
        public Optional<ConfigurationSource> configurationSource() {
            return Optional.of(configurations);
        }

        @Override
        public void listWorkers(Consumer<WorkerListing> handler) {
            answer(
                    CALL_LATENCY,
                    () -> handler.accept(new WorkerListing.Listed(workers.values().stream()
                            .filter(FakeWorker::listed)
                            .map(FakeWorker::entry)
                            .toList())));
        }

        @Override
        public void forward(OwnerRecord owner, JobRequest request, Duration timeout, Consumer<ForwardOutcome> handler) {
            Host target = hosts.get(owner.address());
            if (target == null) {
                answer(CALL_LATENCY, () -> handler.accept(new ForwardOutcome.NotSent("no such host")));
                return;
            }
            AtomicBoolean answered = new AtomicBoolean();
            if (!partitions.losesCall(self.address(), owner.address(), now)) {
                pendingCalls.add(
                        now.plus(CALL_LATENCY),
                        () -> target.node.handlePeerRequest(request, reply -> {
                            if (!target.killed && answered.compareAndSet(false, true)) {
                                answer(CALL_LATENCY, () -> handler.accept(new ForwardOutcome.Answered(reply)));
                            }
                        }));
            }
            answer(timeout, () -> {
                if (answered.compareAndSet(false, true)) {
                    handler.accept(new ForwardOutcome.Lost("no answer in time"));
                }
            });
        }

        private void answer(Duration delay, Runnable action) {
            pendingCalls.add(now.plus(delay), () -> deliver(action));
        }

        private void deliver(Runnable action) {
            if (suspended) {
                answer(TICK, action);
            } else if (!killed) {
                action.run();
            }
        }
    }
}
