package org.flamingopitch.scheduler.session;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.model.Configuration;
import org.flamingopitch.scheduler.model.DataCentreSpec;
import org.flamingopitch.scheduler.model.WorkerId;
import org.flamingopitch.scheduler.node.AuditEvent;
import org.flamingopitch.scheduler.node.NodeEffect;
import org.flamingopitch.scheduler.node.NodeEvent;
import org.flamingopitch.scheduler.node.NodeSettings;
import org.flamingopitch.scheduler.node.SchedulerNode;
import org.flamingopitch.scheduler.worker.HostStatus;

/** A simulated deployment: scheduler cores, fakes at their ports and a clock; any delivery can have a fault. */
final class Session {

    static final Instant START = Instant.parse("2026-01-05T06:00:00Z");

    static final Duration TICK = Duration.ofMillis(20);

    private static final Duration REPLACEMENT_DELAY = Duration.ofSeconds(1);

    private static final Duration EXIT_DELAY = Duration.ofMillis(10);

    private final Deployment deployment;

    private final Configuration configuration;

    private final UnaryOperator<NodeSettings> settings;

    private final InjectedDefect defect;

    private final SessionTimeline time;

    private final KeyValueLink storeLink;

    private final WorkerLink workerLink;

    private final SessionCallers callers;

    private final List<SimProcess> processes = new ArrayList<>();

    private final Map<ProcessId, SimProcess> byId = new HashMap<>();

    private final Map<String, SimWorker> workers = new TreeMap<>();

    private final TreeSet<String> leaving = new TreeSet<>();

    private final SessionLog log = new SessionLog();

    private int incarnations;

    private Instant cutUntil = Instant.EPOCH;

    private boolean cutBothWays;

    Session(
            Deployment deployment,
            UnaryOperator<NodeSettings> settings,
            List<ScheduledFault> faults,
            InjectedDefect defect) {
        this.deployment = deployment;
        this.configuration = deployment.configuration();
        this.settings = settings;
        this.defect = defect;
        this.time = new SessionTimeline(this, log, faults);
        this.storeLink = new KeyValueLink(this, time, log, defect);
        this.workerLink = new WorkerLink(this, time, log, defect);
        this.callers = new SessionCallers(this, time, log, defect);
        for (DataCentreSpec centre : configuration.dataCentres()) {
            centre.racks()
                    .forEach(rack -> rack.workers()
                            .forEach(worker -> workers.put(
                                    worker.name().value(),
                                    new SimWorker(worker.name().value()))));
        }
    }

    SessionLog log() {
        return log;
    }

    Configuration configuration() {
        return configuration;
    }

    Map<String, SimWorker> workers() {
        return workers;
    }

    List<SimProcess> processes() {
        return processes;
    }

    /** Starts the entry hosts and proposes the first configuration. */
    void start() {
        for (String dataCentre : deployment.hostDataCentres()) {
            processes.add(null);
            startProcess(processes.size() - 1, dataCentre);
        }
        time.schedule(Duration.ofMillis(5), storeLink::tickStore);
        time.schedule(Duration.ofMillis(10), this::sendHostList);
        time.schedule(Duration.ofMillis(100), () -> callers.propose(0, 0, "operator"));
    }

    /** Asks a process to shut down gracefully. */
    void drain(int process) {
        SimProcess target = processes.get(process);
        target.requestDrain();
        log.recordDrain(time.now(), target.id());
        deliver(target, new NodeEvent.DrainAsked());
    }

    /** Ends a process; another replaces it after a second. */
    void kill(int process, boolean portRefuses) {
        SimProcess target = processes.get(process);
        if (!target.alive()) {
            return;
        }
        target.end(portRefuses);
        log.extendDisturbance(time.now().plus(REPLACEMENT_DELAY));
        log.recordNote(time.now(), "killed " + target.id());
        for (SimProcess other : processes) {
            if (other.connected().remove(target.id()) && portRefuses) {
                time.schedule(Duration.ofMillis(1), () -> deliver(other, new NodeEvent.PeerLost(target.id())));
            }
        }
        callers.cutConnections(process);
        String dataCentre = target.member().dataCentre();
        time.schedule(REPLACEMENT_DELAY, () -> startProcess(process, dataCentre));
    }

    /** Suspends a process; its events, or the effects of the next one, are deferred until it resumes. */
    void freeze(int process, Duration duration, boolean deferEffects) {
        SimProcess target = processes.get(process);
        target.freeze(time.now().plus(duration), deferEffects);
        log.extendDisturbance(time.now().plus(duration));
        log.recordNote(time.now(), "frozen " + target.id());
        time.schedule(duration, () -> resume(target));
    }

    /** Shows a worker as leaving in the host list. */
    void markLeaving(String worker) {
        if (!worker.isEmpty() && leaving.add(worker)) {
            log.recordLeaving(time.now(), worker);
        }
    }

    /** Cuts the link between the regions, in both directions or from the far region to the home region only. */
    void cutLink(Duration duration, boolean bothWays) {
        cutUntil = time.now().plus(duration);
        log.extendDisturbance(time.now().plus(duration));
        cutBothWays = bothWays;
        log.recordNote(time.now(), "link cut");
        for (SimProcess left : processes) {
            for (SimProcess right : processes) {
                if (inDifferentRegions(left.member(), right.member())
                        && left.connected().remove(right.id())) {
                    deliver(left, new NodeEvent.PeerLost(right.id()));
                }
            }
        }
    }

    private void startProcess(int index, String dataCentre) {
        incarnations++;
        ProcessId id = new ProcessId("entry-" + (index + 1) + "." + incarnations);
        Member member =
                new Member(id, dataCentre, deployment.region(dataCentre), "10.0.1." + incarnations + ":1", false);
        NodeSettings nodeSettings = settings.apply(NodeSettings.defaults(member, incarnations));
        SchedulerNode node =
                new SchedulerNode(nodeSettings, text -> JsonCodec.json().decode(text, Configuration.class));
        SimProcess process = new SimProcess(member, node, time.now());
        processes.set(index, process);
        byId.put(id, process);
        execute(process, node.start(time.now()));
        tick(process);
    }

    private void tick(SimProcess process) {
        if (!process.alive()) {
            return;
        }
        deliver(process, new NodeEvent.Tick());
        time.schedule(TICK, () -> tick(process));
    }

    private void sendHostList() {
        if (defect == InjectedDefect.HOST_LIST_WITHHELD) {
            return;
        }
        List<HostStatus> hosts = workers.keySet().stream()
                .map(worker -> new HostStatus(new WorkerId(worker), leaving.contains(worker)))
                .toList();
        processes.forEach(process -> deliver(process, new NodeEvent.HostsListed(hosts)));
        time.schedule(Duration.ofSeconds(1), this::sendHostList);
    }

    private void resume(SimProcess process) {
        List<Runnable> events = List.copyOf(process.deferredEvents());
        List<NodeEffect> effects = List.copyOf(process.deferredEffects());
        process.deferredEvents().clear();
        process.deferredEffects().clear();
        execute(process, effects);
        events.forEach(Runnable::run);
    }

    /** Delivers an event to a process, or defers it while the process is suspended; ticks are then dropped. */
    void deliver(SimProcess process, NodeEvent event) {
        if (!process.alive()) {
            return;
        }
        if (process.frozen(time.now())) {
            if (!(event instanceof NodeEvent.Tick)) {
                process.deferredEvents().add(() -> deliver(process, event));
            }
            return;
        }
        log.recordEvent(time.now(), process.id(), event);
        List<NodeEffect> effects = process.node().apply(time.now(), event);
        if (process.defersEffects(time.now())) {
            process.deferredEffects().addAll(effects);
            return;
        }
        execute(process, effects);
    }

    private void execute(SimProcess process, List<NodeEffect> effects) {
        for (NodeEffect effect : effects) {
            log.recordEffect(time.now(), process.id(), effect);
            execute(process, effect);
        }
    }

    private void execute(SimProcess process, NodeEffect effect) {
        if (effect instanceof NodeEffect.CallKeyValue call) {
            storeLink.callStore(process, call);
        } else if (effect instanceof NodeEffect.CallWorker call) {
            workerLink.callWorker(process, call);
        } else if (effect instanceof NodeEffect.SendPeer send) {
            sendPeer(process, send.to(), send.message());
        } else if (effect instanceof NodeEffect.AnswerCaller answer) {
            time.scheduleDelivery(
                    StepType.CALLER_ANSWER,
                    indexOf(process),
                    "",
                    Duration.ofMillis(1),
                    () -> callers.cutConnection(answer.caller()),
                    () -> callers.receiveAnswer(answer));
        } else if (effect instanceof NodeEffect.ConnectPeers connect) {
            connect.peers().forEach(peer -> connect(process, peer.id()));
        } else if (effect instanceof NodeEffect.RecordAudit record) {
            recordAudit(process, record.event());
        } else if (effect instanceof NodeEffect.Drained) {
            time.schedule(EXIT_DELAY, () -> exit(process));
        }
    }

    private void exit(SimProcess process) {
        if (!process.alive()) {
            return;
        }
        process.end(true);
        log.recordExit(process.id());
        int index = indexOf(process);
        callers.cutConnections(index);
        String dataCentre = process.member().dataCentre();
        time.schedule(REPLACEMENT_DELAY, () -> startProcess(index, dataCentre));
    }

    private void recordAudit(SimProcess process, AuditEvent event) {
        log.recordAudit(time.now(), process.id(), event);
    }

    int indexOf(SimProcess process) {
        int index = processes.indexOf(process);
        return index < 0 ? 0 : index;
    }

    static Failure failure(String step, String peer, String detail) {
        return new Failure(step, peer, detail);
    }

    private void sendPeer(SimProcess from, ProcessId to, PeerMessage message) {
        SimProcess target = byId.get(to);
        boolean connected =
                from.connected().contains(to) && target.alive() && !isLinkCut(from.member(), target.member());
        if (!connected) {
            time.schedule(Duration.ofMillis(1), () -> deliver(from, new NodeEvent.PeerLost(to)));
            return;
        }
        Duration latency = Duration.ofMillis(inDifferentRegions(from.member(), target.member()) ? 30 : 1);
        time.scheduleDelivery(
                StepType.PEER_MESSAGE,
                indexOf(from),
                "",
                latency,
                () -> loseConnection(from, target),
                () -> deliver(target, new NodeEvent.PeerReceived(from.id(), message)));
    }

    private void loseConnection(SimProcess left, SimProcess right) {
        left.connected().remove(right.id());
        right.connected().remove(left.id());
        deliver(left, new NodeEvent.PeerLost(right.id()));
        deliver(right, new NodeEvent.PeerLost(left.id()));
    }

    private void connect(SimProcess from, ProcessId to) {
        SimProcess target = byId.get(to);
        if (target == null || from.connected().contains(to) || isLinkCut(from.member(), target.member())) {
            return;
        }
        if (!target.alive()) {
            if (target.refusesConnections()) {
                time.schedule(Duration.ofMillis(2), () -> deliver(from, new NodeEvent.PeerGone(to)));
            }
            return;
        }
        from.connected().add(to);
        time.schedule(Duration.ofMillis(2), () -> deliver(from, new NodeEvent.PeerConnected(to)));
    }

    /** Returns whether the link between the far region and the home region is cut in the given direction. */
    boolean isCutFromHome(boolean towardsHome) {
        return time.now().isBefore(cutUntil) && (cutBothWays || towardsHome);
    }

    private boolean isLinkCut(Member from, Member to) {
        if (!time.now().isBefore(cutUntil) || !inDifferentRegions(from, to)) {
            return false;
        }
        return cutBothWays || !from.region().equals(configuration.homeRegion());
    }

    private static boolean inDifferentRegions(Member left, Member right) {
        return !left.region().equals(right.region());
    }

    Instant now() {
        return time.now();
    }

    int steps() {
        return time.steps();
    }

    KeyValueLink storeLink() {
        return storeLink;
    }

    WorkerLink workerLink() {
        return workerLink;
    }

    SessionCallers callers() {
        return callers;
    }

    /** Advances the simulated clock to a time since the start of the session and runs everything due by then. */
    void runUntil(Duration sinceStart) {
        Instant end = START.plus(sinceStart);
        time.runUntil(end);
        workers.values().stream()
                .filter(worker -> !worker.dead())
                .forEach(worker -> worker.model().advance(end));
    }
}
