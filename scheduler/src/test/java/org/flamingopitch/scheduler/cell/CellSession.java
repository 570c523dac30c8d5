package org.flamingopitch.scheduler.cell;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.loop.TimerQueue;
import org.flamingopitch.scheduler.cell.entry.CallerCall;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.entry.CallerVerb;
import org.flamingopitch.scheduler.cell.entry.CellNode;
import org.flamingopitch.scheduler.cell.entry.ForwardOutcome;
import org.flamingopitch.scheduler.cell.entry.OwnerLink;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.model.ServiceName;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.flamingopitch.scheduler.cell.owner.CellTimings;
import org.flamingopitch.scheduler.cell.owner.JobRequest;
import org.flamingopitch.scheduler.cell.owner.OwnerRecord;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.port.WorkerAnswer;
import org.flamingopitch.scheduler.cell.port.WorkerListing;
import org.flamingopitch.scheduler.cell.port.WorkerOrder;
import org.flamingopitch.scheduler.cell.port.WorkerTarget;
import org.flamingopitch.scheduler.model.Resources;

/** Some hosts, workers and a store under one clock that a test advances; no network and no threads. */
public final class CellSession {

    /** How long a call takes. */
    public static final Duration CALL_TIME = Duration.ofMillis(3);

    /** How long a call takes that nobody answers. */
    private static final Duration LOST_TIME = Duration.ofMillis(700);

    private static final Duration STEP = Duration.ofMillis(5);

    private static final Instant ORIGIN = Instant.parse("2026-01-01T00:00:00Z");

    private final FakeStore store = new FakeStore();

    private final Map<String, FakeWorker> workers = new LinkedHashMap<>();

    private final Map<String, Host> hosts = new LinkedHashMap<>();

    private final TimerQueue calls = new TimerQueue();

    private Instant now = ORIGIN;

    /**
     * Adds a worker.
     *
     * @param name its name
     * @param milliCores its processor time in thousandths of a core
     * @return the worker
     */
    public FakeWorker addWorker(String name, long milliCores) {
        FakeWorker worker = new FakeWorker(name, milliCores);
        workers.put(name, worker);
        return worker;
    }

    /**
     * Adds a host and starts it.
     *
     * @param name its name
     */
    public void addHost(String name) {
        Host host = new Host(name);
        hosts.put(name, host);
        host.node.start();
        host.node.configure(configuration());
    }

    /**
     * Removes a host without a word.
     *
     * @param name its name
     */
    public void kill(String name) {
        hosts.remove(name).dead = true;
    }

    /**
     * Returns a host's core.
     *
     * @param name its name
     * @return the core
     */
    public CellNode node(String name) {
        return hosts.get(name).node;
    }

    /**
     * Returns the store.
     *
     * @return the store
     */
    public FakeStore store() {
        return store;
    }

    /**
     * Returns a worker.
     *
     * @param name its name
     * @return the worker
     */
    public FakeWorker worker(String name) {
        return workers.get(name);
    }

    /**
     * Lets time pass.
     *
     * @param time how much
     */
    public void run(Duration time) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(STEP);
            workers.values().forEach(worker -> worker.advance(clockMillis()));
            calls.runDue(now);
            for (Host host : List.copyOf(hosts.values())) {
                host.timers.runDue(now);
                host.node.tick();
            }
        }
    }

    /**
     * Sends a caller's request to a host.
     *
     * @param host the host
     * @param verb what the caller wants
     * @param path queue and job
     * @return receives the reply
     */
    public List<CallerReply> call(String host, CallerVerb verb, String path) {
        List<CallerReply> replies = new ArrayList<>();
        hosts.get(host).node.handle(new CallerCall(verb, "callers.example", path, Duration.ofSeconds(3)), replies::add);
        return replies;
    }

    /**
     * Describes a job with one step.
     *
     * @param count the number of tasks
     * @param milliCores what each takes
     * @param lasting whether they last
     * @return the job
     */
    public static JobSpec job(int count, long milliCores, boolean lasting) {
        return new JobSpec("work", List.of(step(count, milliCores, lasting, List.of())), 0, 0, 0);
    }

    /**
     * Describes a step.
     *
     * @param count the number of tasks
     * @param milliCores what each takes
     * @param lasting whether they last
     * @param after the steps before it
     * @return the step
     */
    public static StepSpec step(int count, long milliCores, boolean lasting, List<Integer> after) {
        return new StepSpec(
                count,
                new Resources(milliCores, 100, 0),
                1_000,
                after,
                true,
                false,
                false,
                null,
                null,
                0,
                false,
                lasting,
                null,
                0,
                false,
                0);
    }

    /**
     * Returns where tasks run.
     *
     * @param job the job's id
     * @return each running task, once for each worker
     */
    public List<TaskRef> running(String job) {
        return workers.values().stream()
                .map(FakeWorker::running)
                .flatMap(Set::stream)
                .filter(task -> task.job().value().equals(job))
                .toList();
    }

    private static CellConfiguration configuration() {
        QueueSpec queue = new QueueSpec(
                new QueueName("q"), "callers.example", "/q/", new ServiceName("pool"), 0, 3, 2, 1_000, 3_000, false);
        return new CellConfiguration(1, List.of(queue), 100_000);
    }

    private long clockMillis() {
        return Duration.between(ORIGIN, now).toMillis();
    }

    private final class Host implements CellContext, OwnerLink {

        private final TimerQueue timers = new TimerQueue();

        private final CellNode node;

        private final OwnerRecord self;

        private boolean dead;

        private Host(String name) {
            self = new OwnerRecord(new ProcessId(name), name);
            Duration second = Duration.ofSeconds(1);
            CellTimings timings = new CellTimings(
                    Duration.ofSeconds(6), Duration.ofSeconds(120), second.multipliedBy(3), second, second);
            node = new CellNode(this, this, self, timings);
        }

        @Override
        public Instant now() {
            return now;
        }

        @Override
        public long timeOfDayMillis() {
            return now.toEpochMilli();
        }

        @Override
        public void schedule(Duration delay, Runnable action) {
            timers.add(now.plus(delay), action);
        }

        @Override
        public void keyValue(KeyValueRequest request, Consumer<KeyValueResult> handler) {
            boolean watch = request instanceof KeyValueRequest.Watch;
            Duration delay = watch ? CALL_TIME.multipliedBy(30) : CALL_TIME;
            calls.add(now.plus(delay), () -> {
                if (dead) {
                    return;
                }
                KeyValueResult result = store.apply(request);
                Duration back = result instanceof KeyValueResult.Failed ? LOST_TIME : Duration.ZERO;
                answer(back, () -> handler.accept(result));
            });
        }

        @Override
        public void callWorker(WorkerTarget target, WorkerOrder order, Consumer<WorkerAnswer> handler) {
            FakeWorker worker = workers.get(target.worker().value());
            calls.add(now.plus(CALL_TIME), () -> {
                WorkerAnswer result = worker.apply(order, clockMillis());
                Duration back = result instanceof WorkerAnswer.Lost ? LOST_TIME : CALL_TIME;
                answer(back, () -> handler.accept(result));
            });
        }

        @Override
        public void listWorkers(Consumer<WorkerListing> handler) {
            answer(
                    CALL_TIME,
                    () -> handler.accept(new WorkerListing.Listed(
                            workers.values().stream().map(FakeWorker::entry).toList())));
        }

        @Override
        public void forward(OwnerRecord owner, JobRequest request, Duration timeout, Consumer<ForwardOutcome> handler) {
            Host target = hosts.get(owner.address());
            if (target == null) {
                answer(CALL_TIME, () -> handler.accept(new ForwardOutcome.NotSent("no such host")));
                return;
            }
            calls.add(
                    now.plus(CALL_TIME),
                    () -> target.node.answerPeer(
                            request,
                            reply -> answer(CALL_TIME, () -> handler.accept(new ForwardOutcome.Answered(reply)))));
        }

        private void answer(Duration delay, Runnable action) {
            calls.add(now.plus(delay), () -> {
                if (!dead) {
                    action.run();
                }
            });
        }
    }
}
