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
import org.flamingopitch.daemon.settings.ProcessSettings;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.node.NodeEvent;
import org.flamingopitch.scheduler.node.NodeSettings;
import org.flamingopitch.scheduler.node.SchedulerNode;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpClient;
import org.flamingopitch.transport.http.HttpServer;
import org.flamingopitch.transport.peer.PeerListener;
import org.flamingopitch.transport.peer.PeerTransport;

/** An entry host: builds the core and its adapters and holds them under a supervisor. */
public final class EntryHost implements Service {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int RING_SLOTS = 8_192;

    private static final int SERVER_IO_THREADS = 1;

    private final ProcessSettings settings;

    private final TimeSource clock;

    private final Consumer<String> escalation;

    private final EntryMetrics metrics = new EntryMetrics();

    private final AuditLog audit = new AuditLog();

    private final CountDownLatch drained = new CountDownLatch(1);

    private final HttpClient platformClient;

    private final PeerTransport<PeerMessage> peers;

    private final CallerRegistry callers;

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
     * @param escalation is told what failed for good
     */
    public EntryHost(ProcessSettings settings, TimeSource clock, Consumer<String> escalation) {
        this.settings = settings;
        this.clock = clock;
        this.escalation = escalation;
        this.platformClient = new HttpClient("platform-client", clock);
        this.callers = new CallerRegistry(clock, metrics);
        this.peers = new PeerTransport<>(
                HostPort.parse(settings.peerAddress()), new MessagePackPeerCodec(), new PeerEvents());
        this.callerServer = new HttpServer(
                "caller-api",
                HostPort.parse(settings.callerAddress()),
                new CallerApi(callers).routes(),
                SERVER_IO_THREADS);
        this.operatorServer = new HttpServer(
                "operator-api",
                HostPort.parse(settings.operatorAddress()),
                new OperatorApi(callers, metrics, audit, this::drain).routes(),
                SERVER_IO_THREADS);
        this.supervisor = new Supervisor(settings.name(), clock, escalation);
    }

    @Override
    public String name() {
        return settings.name();
    }

    @Override
    public void start() {
        supervisor.add(platformClient);
        supervisor.add(peers);
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

    /** Ends at once, without a graceful shutdown, as a killed process does. */
    public void crash() {
        loop.stop();
        supervisor.stop();
    }

    /** Begins a graceful shutdown. */
    public void drain() {
        publish(new NodeEvent.DrainAsked());
    }

    /**
     * Waits for the end of a graceful shutdown.
     *
     * @param timeout how long to wait
     * @return whether everything was handed over
     * @throws InterruptedException if the thread is interrupted
     */
    public boolean awaitDrained(Duration timeout) throws InterruptedException {
        return drained.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Returns this incarnation's id.
     *
     * @return the id
     */
    public ProcessId id() {
        return id;
    }

    /**
     * Returns where callers are served.
     *
     * @return the address
     */
    public HostPort callerAddress() {
        return callerServer.boundAddress();
    }

    /**
     * Returns where operators are served.
     *
     * @return the address
     */
    public HostPort operatorAddress() {
        return operatorServer.boundAddress();
    }

    /**
     * Returns where the other entry hosts reach this one.
     *
     * @return the address
     */
    public HostPort peerAddress() {
        return peers.boundAddress();
    }

    private void publish(NodeEvent event) {
        SingleWriterLoop<NodeEvent> current = loop;
        if (current != null) {
            current.publish(event);
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
            peers.identify(id);
            Member self = new Member(
                    id,
                    settings.dataCentre(),
                    settings.region(),
                    peers.boundAddress().toString(),
                    false);
            NodeSettings defaults = NodeSettings.defaults(self, random.nextLong());
            NodeSettings nodeSettings = new NodeSettings(
                    self,
                    defaults.lease(),
                    defaults.timings(),
                    defaults.journal(),
                    settings.effectiveOncePolicy(),
                    defaults.jobDeadline(),
                    settings.drainTime(),
                    defaults.drainLinger(),
                    defaults.seed());
            node = new SchedulerNode(nodeSettings, ConfigurationParser::parse);
            EffectExecutor executor = new EffectExecutor(
                    clock,
                    new HttpKeyValueClient(platformClient, HostPort.parse(settings.keyValueAddress())),
                    new HttpWorkerClient(platformClient, clock),
                    peers,
                    callers,
                    audit,
                    metrics,
                    EntryHost.this::publish,
                    drained::countDown);
            loop = new SingleWriterLoop<>(
                    "core",
                    RING_SLOTS,
                    event -> executor.execute(node.apply(clock.now(), event)),
                    error -> crashed(error));
            executor.execute(node.start(clock.now()));
            loop.start();
            callers.connect(EntryHost.this::publish);
        }

        @Override
        public void stop() {
            loop.stop();
        }

        private void crashed(Throwable error) {
            LOGGER.atSevere().withCause(error).log("event=core_failed step=core.apply peer=%s", id);
            escalation.accept("core: " + error);
        }
    }

    private final class PeerEvents implements PeerListener<PeerMessage> {

        @Override
        public void connected(ProcessId peer) {
            publish(new NodeEvent.PeerConnected(peer));
        }

        @Override
        public void lost(ProcessId peer) {
            publish(new NodeEvent.PeerLost(peer));
        }

        @Override
        public void gone(ProcessId peer) {
            publish(new NodeEvent.PeerGone(peer));
        }

        @Override
        public void received(ProcessId from, PeerMessage message) {
            publish(new NodeEvent.PeerReceived(from, message));
        }
    }
}
