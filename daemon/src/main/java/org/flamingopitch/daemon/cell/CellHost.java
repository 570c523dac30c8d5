package org.flamingopitch.daemon.cell;

import com.google.common.flogger.FluentLogger;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.coordination.loop.SingleWriterLoop;
import org.flamingopitch.coordination.supervisor.Service;
import org.flamingopitch.coordination.supervisor.Supervisor;
import org.flamingopitch.platform.CallerHttpHandler;
import org.flamingopitch.platform.MachineDirectory;
import org.flamingopitch.platform.OperatorRequestWatcher;
import org.flamingopitch.platform.PlatformSettings;
import org.flamingopitch.platform.StoreClient;
import org.flamingopitch.platform.WorkerClient;
import org.flamingopitch.platform.WorkerDirectory;
import org.flamingopitch.scheduler.cell.entry.CallerJobRequest;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.entry.CellNode;
import org.flamingopitch.scheduler.cell.entry.ForwardOutcome;
import org.flamingopitch.scheduler.cell.entry.OwnerClient;
import org.flamingopitch.scheduler.cell.feature.FeatureGates;
import org.flamingopitch.scheduler.cell.owner.JobAnswer;
import org.flamingopitch.scheduler.cell.owner.JobRequest;
import org.flamingopitch.scheduler.cell.owner.OwnerRecord;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpCall;
import org.flamingopitch.transport.http.HttpClient;
import org.flamingopitch.transport.http.HttpReply;
import org.flamingopitch.transport.http.HttpRoutes;
import org.flamingopitch.transport.http.HttpServer;
import org.flamingopitch.transport.peer.RequestTransport;

/**
 * Runs a cell node in this process: connects it to callers, workers, other hosts and the platform's store, and applies
 * everything that reaches it in one thread, the single-writer loop.
 */
public final class CellHost implements Service, OwnerClient {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int EVENT_QUEUE_CAPACITY = 8_192;

    /** Longest delay of a timer while no event arrives; each wake-up of an idle host costs processor time. */
    private static final Duration TIMER_CHECK_INTERVAL = Duration.ofMillis(25);

    /** While draining, requests time out this long before connections close, so that answers still reach callers. */
    private static final Duration ANSWER_DELIVERY_MARGIN = Duration.ofMillis(150);

    private final ProcessId id;

    private final TimeSource clock;

    private final CellMetrics metrics;

    private final int metricsPort;

    private final HttpClient platformClient;

    private final HttpServer callerServer;

    private final RequestTransport peerTransport;

    private final SingleWriterLoop<Runnable> loop;

    private final HostContext context;

    private final CellNode node;

    private final OperatorRequestWatcher operatorRequestWatcher;

    private final Supervisor supervisor;

    private final JobCodec codec = new JobCodec();

    private volatile boolean ready;

    private volatile boolean draining;

    private volatile Instant answersDueAt = Instant.MAX;

    /**
     * Creates a host.
     *
     * @param settings the platform's settings for this process
     * @param telemetry the settings of the metrics
     * @param gates the decision mechanisms that are on
     * @param clock the monotonic clock, for delays and timeouts
     * @param timeOfDay the time of day, for the process id and the start times of timed jobs
     * @param onFailure receives the cause of a failure after which the process must end
     */
    public CellHost(
            PlatformSettings settings,
            Telemetry telemetry,
            FeatureGates gates,
            TimeSource clock,
            Clock timeOfDay,
            Consumer<String> onFailure) {
        this.clock = clock;
        metrics = new CellMetrics(telemetry.droppedLogLines());
        metrics.recordGates(gates);
        metricsPort = telemetry.metricsPort();
        id = new ProcessId(settings.hostName() + "." + Long.toString(timeOfDay.millis(), Character.MAX_RADIX));
        platformClient = new HttpClient("platform-client", clock);
        StoreClient store = new StoreClient(platformClient, settings.store());
        context = new HostContext(
                clock,
                timeOfDay,
                store,
                new WorkerClient(platformClient, clock),
                new WorkerDirectory(store),
                Optional.ofNullable(settings.machines()).map(address -> new MachineDirectory(platformClient, address)),
                metrics,
                gates);
        loop = new SingleWriterLoop<>(
                "core",
                EVENT_QUEUE_CAPACITY,
                this::apply,
                TIMER_CHECK_INTERVAL,
                this::afterBatch,
                error -> reportLoopFailure(error, onFailure));
        context.setLoop(loop);
        HostPort peerAddress = new HostPort(settings.ip(), settings.peerPort());
        peerTransport = new RequestTransport(peerAddress, this::handlePeerRequest);
        OwnerRecord self = new OwnerRecord(id, peerAddress.toString(), settings.processors());
        node = new CellNode(context, this, self, settings.timings());
        CallerHttpHandler callerHandler = new CallerHttpHandler(
                settings.readiness().port(), () -> ready, () -> draining, this::handleCallerRequest);
        callerServer = new HttpServer(
                "callers",
                settings.callers(),
                additionalAddresses(settings),
                new HttpRoutes().onUnmatched(call -> handleHttpCall(call, callerHandler)),
                1);
        operatorRequestWatcher = new OperatorRequestWatcher(context, node::configure, node::evacuate);
        supervisor = new Supervisor("host", clock, onFailure);
        supervisor.add(loop);
        supervisor.add(platformClient);
        supervisor.add(callerServer);
        supervisor.add(peerTransport);
    }

    @Override
    public String name() {
        return "host";
    }

    /**
     * Returns the id of this process.
     *
     * @return the id
     */
    public ProcessId id() {
        return id;
    }

    /**
     * Returns the address at which callers connect.
     *
     * @return the address with the actual port
     */
    public HostPort callerAddress() {
        return callerServer.boundAddress();
    }

    @Override
    public void start() {
        supervisor.start();
        loop.publish(() -> {
            node.start();
            operatorRequestWatcher.start();
        });
    }

    /**
     * Begins a graceful shutdown: reports not ready, hands the cell over if this host owns it, no longer competes for
     * it, and still answers callers until the connections close.
     *
     * @param timeUntilClose how long connections stay open; every request is answered before
     */
    public void drain(Duration timeUntilClose) {
        answersDueAt = clock.now().plus(timeUntilClose).minus(ANSWER_DELIVERY_MARGIN);
        draining = true;
        ready = false;
        loop.publish(node::drain);
    }

    /**
     * Runs an action as soon as every request of a caller that was received is answered. No further request is received
     * while the action runs.
     *
     * @param action the action
     */
    public void runWhenAllAnswered(Runnable action) {
        callerServer.runWhenIdle(action);
    }

    /**
     * Returns the number of callers' requests that are not answered yet.
     *
     * @return the number of requests
     */
    public int unansweredRequests() {
        return callerServer.callsInProgress();
    }

    @Override
    public void stop() {
        supervisor.stop();
    }

    @Override
    public void forward(OwnerRecord owner, JobRequest request, Duration timeout, Consumer<ForwardOutcome> handler) {
        peerTransport.send(HostPort.parse(owner.address()), codec.encode(request), timeout, outcome -> {
            ForwardOutcome forwarded = codec.decodeOutcome(outcome);
            loop.publish(() -> handler.accept(forwarded));
        });
    }

    private void handlePeerRequest(byte[] body, Consumer<byte[]> answer) {
        JobRequest request = codec.decodeRequest(body);
        Consumer<JobAnswer> handler = jobAnswer -> answer.accept(codec.encode(jobAnswer));
        loop.publish(() -> node.handlePeerRequest(request, handler));
    }

    private List<HostPort> additionalAddresses(PlatformSettings settings) {
        if (metricsPort == Telemetry.NO_PORT) {
            return List.of(settings.readiness());
        }
        return List.of(settings.readiness(), new HostPort(settings.ip(), metricsPort));
    }

    private void handleHttpCall(HttpCall call, CallerHttpHandler callerHandler) {
        if (call.localPort() == metricsPort) {
            call.answer(HttpReply.text(HttpReply.OK, metrics.text()));
        } else {
            callerHandler.handle(call);
        }
    }

    private void handleCallerRequest(CallerJobRequest call, Consumer<CallerReply> reply) {
        Instant startedAt = clock.now();
        String request = HostContext.metricLabel(call.operation());
        Consumer<CallerReply> measuredReply = answer -> {
            metrics.recordAnswer(request, HostContext.metricLabel(answer), Duration.between(startedAt, clock.now()));
            reply.accept(answer);
        };
        loop.publish(() -> node.handle(limitTimeoutWhileDraining(call), measuredReply));
    }

    private CallerJobRequest limitTimeoutWhileDraining(CallerJobRequest call) {
        if (!draining) {
            return call;
        }
        Duration remaining = Duration.between(clock.now(), answersDueAt);
        Duration timeout = remaining.compareTo(call.timeout()) < 0 ? remaining : call.timeout();
        return new CallerJobRequest(call.operation(), call.host(), call.path(), timeout);
    }

    private void apply(Runnable event) {
        context.readClock();
        runGuarded(event);
    }

    private void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            node.handleUnexpectedError(e);
        }
    }

    private void afterBatch() {
        context.readClock();
        runGuarded(context::runTimers);
        runGuarded(node::tick);
        ready = !draining && node.ready();
        metrics.updateGauges(node.ownsCell(), node.openJobs(), node.evacuatedDataCentres());
    }

    private static void reportLoopFailure(Throwable error, Consumer<String> onFailure) {
        LOGGER.atSevere().withCause(error).log("event=core_failed");
        onFailure.accept("core: " + error);
    }
}
