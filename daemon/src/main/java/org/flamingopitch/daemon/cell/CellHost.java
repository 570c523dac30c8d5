package org.flamingopitch.daemon.cell;

import com.google.common.flogger.FluentLogger;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.coordination.loop.SingleWriterLoop;
import org.flamingopitch.coordination.supervisor.Service;
import org.flamingopitch.coordination.supervisor.Supervisor;
import org.flamingopitch.platform.CallerHttpHandler;
import org.flamingopitch.platform.ConfigurationWatcher;
import org.flamingopitch.platform.PlatformSettings;
import org.flamingopitch.platform.StoreClient;
import org.flamingopitch.platform.WorkerClient;
import org.flamingopitch.platform.WorkerDirectory;
import org.flamingopitch.scheduler.cell.entry.CallerJobRequest;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.entry.CellNode;
import org.flamingopitch.scheduler.cell.entry.ForwardOutcome;
import org.flamingopitch.scheduler.cell.entry.OwnerClient;
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

/** One host of the system: its connections, and the core that decides. */
public final class CellHost implements Service, OwnerClient {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int LOOP_CAPACITY = 8_192;

    /** How late a timer may be; each wake-up of an idle host is charged. */
    private static final Duration IDLE_TIME = Duration.ofMillis(25);

    /** Answers reach their callers within this time. */
    private static final Duration CLOSING_MARGIN = Duration.ofMillis(150);

    private final ProcessId id;

    private final TimeSource clock;

    private final CellMetrics metrics;

    private final int metricsPort;

    private final HttpClient http;

    private final HttpServer callers;

    private final RequestTransport peers;

    private final SingleWriterLoop<Runnable> loop;

    private final HostContext context;

    private final CellNode node;

    private final ConfigurationWatcher configurations;

    private final Supervisor supervisor;

    private final JobCodec codec = new JobCodec();

    private volatile boolean ready;

    private volatile boolean draining;

    private volatile Instant closingAt = Instant.MAX;

    /**
     * Creates a host.
     *
     * @param settings what the platform tells about it
     * @param telemetry how the host is observed
     * @param clock the steady clock
     * @param timeOfDay the time of day
     * @param onFailure learns of a failure after which the process must end
     */
    public CellHost(
            PlatformSettings settings,
            Telemetry telemetry,
            TimeSource clock,
            Clock timeOfDay,
            Consumer<String> onFailure) {
        this.clock = clock;
        metrics = new CellMetrics(telemetry.droppedLogLines());
        metricsPort = telemetry.metricsPort();
        id = new ProcessId(settings.hostName() + "." + Long.toString(timeOfDay.millis(), Character.MAX_RADIX));
        http = new HttpClient("platform-client", clock);
        StoreClient store = new StoreClient(http, settings.store());
        context = new HostContext(
                clock, timeOfDay, store, new WorkerClient(http, clock), new WorkerDirectory(store), metrics);
        loop = new SingleWriterLoop<>(
                "core", LOOP_CAPACITY, this::apply, IDLE_TIME, this::afterBatch, error -> failed(error, onFailure));
        context.attach(loop);
        HostPort peerAddress = new HostPort(settings.ip(), settings.peerPort());
        peers = new RequestTransport(peerAddress, this::asked);
        node = new CellNode(context, this, new OwnerRecord(id, peerAddress.toString()), settings.timings());
        CallerHttpHandler front =
                new CallerHttpHandler(settings.readiness().port(), () -> ready, () -> draining, this::handle);
        callers = new HttpServer(
                "callers",
                settings.callers(),
                furtherAddresses(settings),
                new HttpRoutes().otherwise(call -> serve(call, front)),
                1);
        configurations = new ConfigurationWatcher(context, node::configure);
        supervisor = new Supervisor("host", clock, onFailure);
        supervisor.add(loop);
        supervisor.add(http);
        supervisor.add(callers);
        supervisor.add(peers);
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
     * Returns where callers connect.
     *
     * @return the address with the actual port
     */
    public HostPort callerAddress() {
        return callers.boundAddress();
    }

    @Override
    public void start() {
        supervisor.start();
        loop.publish(() -> {
            node.start();
            configurations.start();
        });
    }

    /**
     * Stops to take the cell, hands it over if it is owned, and answers open connections on.
     *
     * @param time how long connections stay open; every answer comes before
     */
    public void drain(Duration time) {
        closingAt = clock.now().plus(time).minus(CLOSING_MARGIN);
        draining = true;
        ready = false;
        loop.publish(node::drain);
    }

    @Override
    public void stop() {
        supervisor.stop();
    }

    @Override
    public void forward(OwnerRecord owner, JobRequest request, Duration timeout, Consumer<ForwardOutcome> handler) {
        peers.send(HostPort.parse(owner.address()), codec.encode(request), timeout, outcome -> {
            ForwardOutcome forwarded = codec.decode(outcome);
            loop.publish(() -> handler.accept(forwarded));
        });
    }

    private void asked(byte[] body, Consumer<byte[]> answer) {
        JobRequest request = codec.decodeRequest(body);
        Consumer<JobAnswer> reply = each -> answer.accept(codec.encode(each));
        loop.publish(() -> node.handlePeerRequest(request, reply));
    }

    private List<HostPort> furtherAddresses(PlatformSettings settings) {
        if (metricsPort == Telemetry.NO_PORT) {
            return List.of(settings.readiness());
        }
        return List.of(settings.readiness(), new HostPort(settings.ip(), metricsPort));
    }

    private void serve(HttpCall call, CallerHttpHandler front) {
        if (call.localPort() == metricsPort) {
            call.answer(HttpReply.text(HttpReply.OK, metrics.text()));
        } else {
            front.handle(call);
        }
    }

    private void handle(CallerJobRequest call, Consumer<CallerReply> reply) {
        Instant startedAt = clock.now();
        String request = HostContext.kind(call.operation());
        Consumer<CallerReply> counted = answer -> {
            metrics.answered(request, HostContext.kind(answer), Duration.between(startedAt, clock.now()));
            reply.accept(answer);
        };
        loop.publish(() -> node.handle(withinOpenTime(call), counted));
    }

    private CallerJobRequest withinOpenTime(CallerJobRequest call) {
        if (!draining) {
            return call;
        }
        Duration open = Duration.between(clock.now(), closingAt);
        Duration patience = open.compareTo(call.timeout()) < 0 ? open : call.timeout();
        return new CallerJobRequest(call.operation(), call.host(), call.path(), patience);
    }

    private void apply(Runnable event) {
        context.advance();
        event.run();
    }

    private void afterBatch() {
        context.advance();
        context.runTimers();
        node.tick();
        ready = !draining && node.ready();
        metrics.update(node.ownsCell(), node.openJobs());
    }

    private static void failed(Throwable error, Consumer<String> onFailure) {
        LOGGER.atSevere().withCause(error).log("event=core_failed");
        onFailure.accept("core: " + error);
    }
}
