package org.flamingopitch.daemon.entry;

import com.google.common.flogger.FluentLogger;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.coordination.loop.SingleWriterLoop;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.coordination.supervisor.Service;
import org.flamingopitch.coordination.supervisor.Supervisor;
import org.flamingopitch.daemon.platform.HostListPoller;
import org.flamingopitch.daemon.platform.HttpKeyValueClient;
import org.flamingopitch.daemon.platform.HttpWorkerClient;
import org.flamingopitch.daemon.settings.ConfigurationParser;
import org.flamingopitch.daemon.settings.EntryHostSettings;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.node.NodeEvent;
import org.flamingopitch.scheduler.node.NodeSettings;
import org.flamingopitch.scheduler.node.SchedulerNode;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpClient;
import org.flamingopitch.transport.http.HttpServer;
import org.flamingopitch.transport.peer.PeerListener;
import org.flamingopitch.transport.peer.PeerTransport;

/**
 * An entry host, the process to which callers and operators send their requests. It creates the scheduler core, its
 * HTTP servers and its clients, and starts and stops them under a supervisor.
 */
public final class EntryHost implements Service {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int EVENT_QUEUE_CAPACITY = 8_192;

    private static final int SERVER_IO_THREADS = 1;

    private final EntryHostSettings settings;

    private final TimeSource clock;

    private final Consumer<String> onFailure;

    private final EntryMetrics metrics = new EntryMetrics();

    private final AuditLog auditLog = new AuditLog();

    private final CountDownLatch drained = new CountDownLatch(1);

    private final HttpClient platformClient;

    private final PeerTransport<PeerMessage> peerTransport;

    private final PendingCalls pendingCalls;

    private final HttpServer callerServer;

    private final HttpServer operatorServer;

    private final Supervisor supervisor;

    private SingleWriterLoop<NodeEvent> loop;

    private SchedulerNode node;

    private ProcessId id;

    /**
     * Creates an entry host.
     *
     * @param settings the settings
     * @param clock the clock
     * @param onFailure receives the cause of a failure after which the process must end
     */
    public EntryHost(EntryHostSettings settings, TimeSource clock, Consumer<String> onFailure) {
        this.settings = settings;
        this.clock = clock;
        this.onFailure = onFailure;
        this.platformClient = new HttpClient("platform-client", clock);
        this.pendingCalls = new PendingCalls(clock, metrics);
        this.peerTransport = new PeerTransport<>(
                HostPort.parse(settings.peerAddress()), new MessagePackPeerCodec(), new PeerEventPublisher());
        this.callerServer = new HttpServer(
                "caller-api",
                HostPort.parse(settings.callerAddress()),
                new CallerApi(pendingCalls).routes(),
                SERVER_IO_THREADS);
        this.operatorServer = new HttpServer(
                "operator-api",
                HostPort.parse(settings.operatorAddress()),
                new OperatorApi(pendingCalls, metrics, auditLog, this::drain).routes(),
                SERVER_IO_THREADS);
        this.supervisor = new Supervisor(settings.name(), clock, onFailure);
    }

    @Override
    public String name() {
        return settings.name();
    }

    @Override
    public void start() {
        supervisor.add(platformClient);
        supervisor.add(peerTransport);
        supervisor.add(new CoreService());
        supervisor.add(new Ticker(this::publish));
        supervisor.add(new HostListPoller(
                platformClient,
                HostPort.parse(settings.hostListAddress()),
                hosts -> publish(new NodeEvent.HostsListed(hosts))));
        supervisor.add(operatorServer);
        supervisor.add(callerServer);
        supervisor.start();
    }

    @Override
    public void stop() {
        supervisor.stop();
    }

    /** Stops at once without a graceful shutdown, which looks to the other hosts like a killed process. */
    public void crash() {
        loop.stop();
        supervisor.stop();
    }

    /** Begins a graceful shutdown: the core hands over what this host owns. */
    public void drain() {
        publish(new NodeEvent.DrainAsked());
    }

    /**
     * Waits for the end of a graceful shutdown.
     *
     * @param timeout how long to wait
     * @return whether the shutdown ended within the timeout
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean awaitDrained(Duration timeout) throws InterruptedException {
        return drained.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the process id, which is new for each start of the process.
     *
     * @return the id
     */
    public ProcessId id() {
        return id;
    }

    /**
     * Returns the address of the interface for callers.
     *
     * @return the address with the actual port
     */
    public HostPort callerAddress() {
        return callerServer.boundAddress();
    }

    /**
     * Returns the address of the interface for operators.
     *
     * @return the address with the actual port
     */
    public HostPort operatorAddress() {
        return operatorServer.boundAddress();
    }

    /**
     * Returns the address at which other entry hosts connect.
     *
     * @return the address with the actual port
     */
    public HostPort peerAddress() {
        return peerTransport.boundAddress();
    }

    private void publish(NodeEvent event) {
        SingleWriterLoop<NodeEvent> currentLoop = loop;
        if (currentLoop != null) {
            currentLoop.publish(event);
        }
    }

    private final class CoreService implements Service {

        @Override
        public String name() {
            return "core";
        }

        @Override
        public void start() {
            SecureRandom random = new SecureRandom();
            id = new ProcessId(settings.name() + "." + Long.toHexString(random.nextLong()));
            peerTransport.setProcessId(id);
            Member self = new Member(
                    id,
                    settings.dataCentre(),
                    settings.region(),
                    peerTransport.boundAddress().toString(),
                    false);
            NodeSettings defaults = NodeSettings.defaults(self, random.nextLong());
            NodeSettings nodeSettings = new NodeSettings(
                    self,
                    defaults.lease(),
                    defaults.timings(),
                    defaults.journal(),
                    settings.effectiveOncePolicy(),
                    defaults.jobCommandTimeout(),
                    settings.drainTimeout(),
                    defaults.minDrainDuration(),
                    defaults.seed());
            node = new SchedulerNode(nodeSettings, ConfigurationParser::parse);
            EffectExecutor effectExecutor = new EffectExecutor(
                    clock,
                    new HttpKeyValueClient(platformClient, HostPort.parse(settings.keyValueAddress())),
                    new HttpWorkerClient(platformClient, clock),
                    peerTransport,
                    pendingCalls,
                    auditLog,
                    metrics,
                    EntryHost.this::publish,
                    drained::countDown);
            loop = new SingleWriterLoop<>(
                    "core",
                    EVENT_QUEUE_CAPACITY,
                    event -> effectExecutor.execute(node.apply(clock.now(), event)),
                    error -> reportCoreFailure(error));
            effectExecutor.execute(node.start(clock.now()));
            loop.start();
            pendingCalls.connect(EntryHost.this::publish);
        }

        @Override
        public void stop() {
            loop.stop();
        }

        private void reportCoreFailure(Throwable error) {
            LOGGER.atSevere().withCause(error).log("event=core_failed step=core.apply peer=%s", id);
            onFailure.accept("core: " + error);
        }
    }

    private final class PeerEventPublisher implements PeerListener<PeerMessage> {

        @Override
        public void connected(ProcessId peer) {
            publish(new NodeEvent.PeerConnected(peer));
        }

        @Override
        public void connectionLost(ProcessId peer) {
            publish(new NodeEvent.PeerLost(peer));
        }

        @Override
        public void processTerminated(ProcessId peer) {
            publish(new NodeEvent.PeerGone(peer));
        }

        @Override
        public void received(ProcessId from, PeerMessage message) {
            publish(new NodeEvent.PeerReceived(from, message));
        }
    }
}
