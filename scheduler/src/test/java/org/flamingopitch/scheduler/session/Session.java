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

/** Runs cores against fakes at their ports, on a fake clock; a fault can strike at any delivery. */
final class Session {

    static final Instant START = Instant.parse("2026-01-05T06:00:00Z");

    static final Duration TICK = Duration.ofMillis(20);

    private static final Duration REPLACE_AFTER = Duration.ofSeconds(1);

    private static final Duration EXIT_AFTER = Duration.ofMillis(10);

    private final Deployment deployment;

    private final Configuration configuration;

    private final UnaryOperator<NodeSettings> settings;

    private final Sabotage sabotage;

    private final SessionTimeline time;

    private final SessionStore store;

    private final SessionWorkers workerCalls;

    private final SessionCallers callers;

    private final List<SimProcess> processes = new ArrayList<>();

    private final Map<ProcessId, SimProcess> byId = new HashMap<>();

    private final Map<String, SimWorker> workers = new TreeMap<>();

    private final TreeSet<String> leaving = new TreeSet<>();

    private final SessionLog log = new SessionLog();

    private int incarnations;

    private Instant cutUntil = Instant.EPOCH;

    private boolean cutBothWays;

    Session(Deployment deployment, UnaryOperator<NodeSettings> settings, List<FaultAt> faults, Sabotage sabotage) {
        this.deployment = deployment;
        this.configuration = deployment.configuration();
        this.settings = settings;
        this.sabotage = sabotage;
        this.time = new SessionTimeline(this, log, faults);
        this.store = new SessionStore(this, time, log, sabotage);
        this.workerCalls = new SessionWorkers(this, time, log, sabotage);
        this.callers = new SessionCallers(this, time, log, sabotage);
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

    /** Starts the entry hosts and applies the configuration. */
    void start() {
        for (String place : deployment.hostPlaces()) {
            processes.add(null);
            startProcess(processes.size() - 1, place);
        }
        time.schedule(Duration.ofMillis(5), store::tickStore);
        time.schedule(Duration.ofMillis(10), this::tellHosts);
        time.schedule(Duration.ofMillis(100), () -> callers.propose(0, 0, "operator"));
    }

    void drain(int process) {
        SimProcess target = processes.get(process);
        target.askDrain();
        log.drained(time.now(), target.id());
        deliver(target, new NodeEvent.DrainAsked());
    }

    void kill(int process, boolean portRefuses) {
        SimProcess target = processes.get(process);
        if (!target.alive()) {
            return;
        }
        target.end(portRefuses);
        log.disturbed(time.now().plus(REPLACE_AFTER));
        log.note(time.now(), "killed " + target.id());
        for (SimProcess other : processes) {
            if (other.connected().remove(target.id()) && portRefuses) {
                time.schedule(Duration.ofMillis(1), () -> deliver(other, new NodeEvent.PeerLost(target.id())));
            }
        }
        callers.cutCallers(process);
        String place = target.member().dataCentre();
        time.schedule(REPLACE_AFTER, () -> startProcess(process, place));
    }

    void freeze(int process, Duration duration, boolean beforeWrite) {
        SimProcess target = processes.get(process);
        target.freeze(time.now().plus(duration), beforeWrite);
        log.disturbed(time.now().plus(duration));
        log.note(time.now(), "frozen " + target.id());
        time.schedule(duration, () -> thaw(target));
    }

    void leave(String worker) {
        if (!worker.isEmpty() && leaving.add(worker)) {
            log.leaving(time.now(), worker);
        }
    }

    void cutLink(Duration duration, boolean bothWays) {
        cutUntil = time.now().plus(duration);
        log.disturbed(time.now().plus(duration));
        cutBothWays = bothWays;
        log.note(time.now(), "link cut");
        for (SimProcess left : processes) {
            for (SimProcess right : processes) {
                if (crosses(left.member(), right.member()) && left.connected().remove(right.id())) {
                    deliver(left, new NodeEvent.PeerLost(right.id()));
                }
            }
        }
    }

    private void startProcess(int index, String place) {
        incarnations++;
        ProcessId id = new ProcessId("entry-" + (index + 1) + "." + incarnations);
        Member member = new Member(id, place, deployment.region(place), "10.0.1." + incarnations + ":1", false);
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

    private void tellHosts() {
        if (sabotage == Sabotage.HIDDEN_HOST_LIST) {
            return;
        }
        List<HostStatus> hosts = workers.keySet().stream()
                .map(worker -> new HostStatus(new WorkerId(worker), leaving.contains(worker)))
                .toList();
        processes.forEach(process -> deliver(process, new NodeEvent.HostsListed(hosts)));
        time.schedule(Duration.ofSeconds(1), this::tellHosts);
    }

    private void thaw(SimProcess process) {
        List<Runnable> events = List.copyOf(process.heldEvents());
        List<NodeEffect> effects = List.copyOf(process.heldEffects());
        process.heldEvents().clear();
        process.heldEffects().clear();
        execute(process, effects);
        events.forEach(Runnable::run);
    }

    void deliver(SimProcess process, NodeEvent event) {
        if (!process.alive()) {
            return;
        }
        if (process.frozen(time.now())) {
            if (!(event instanceof NodeEvent.Tick)) {
                process.heldEvents().add(() -> deliver(process, event));
            }
            return;
        }
        log.event(time.now(), process.id(), event);
        List<NodeEffect> effects = process.node().apply(time.now(), event);
        if (process.holdsWrites(time.now())) {
            process.heldEffects().addAll(effects);
            return;
        }
        execute(process, effects);
    }

    private void execute(SimProcess process, List<NodeEffect> effects) {
        for (NodeEffect effect : effects) {
            log.effect(time.now(), process.id(), effect);
            execute(process, effect);
        }
    }

    private void execute(SimProcess process, NodeEffect effect) {
        if (effect instanceof NodeEffect.CallKeyValue call) {
            store.callStore(process, call);
        } else if (effect instanceof NodeEffect.CallWorker call) {
            workerCalls.callWorker(process, call);
        } else if (effect instanceof NodeEffect.SendPeer send) {
            sendPeer(process, send.to(), send.message());
        } else if (effect instanceof NodeEffect.AnswerCaller answer) {
            time.step(
                    StepType.CALLER_ANSWER,
                    index(process),
                    "",
                    Duration.ofMillis(1),
                    () -> callers.cutCaller(answer.caller()),
                    () -> callers.answered(answer));
        } else if (effect instanceof NodeEffect.ConnectPeers connect) {
            connect.peers().forEach(peer -> connect(process, peer.id()));
        } else if (effect instanceof NodeEffect.RecordAudit record) {
            audited(process, record.event());
        } else if (effect instanceof NodeEffect.Drained) {
            time.schedule(EXIT_AFTER, () -> exit(process));
        }
    }

    private void exit(SimProcess process) {
        if (!process.alive()) {
            return;
        }
        process.end(true);
        log.exited(process.id());
        int index = index(process);
        callers.cutCallers(index);
        String place = process.member().dataCentre();
        time.schedule(REPLACE_AFTER, () -> startProcess(index, place));
    }

    private void audited(SimProcess process, AuditEvent event) {
        log.audit(time.now(), process.id(), event);
    }

    int index(SimProcess process) {
        int index = processes.indexOf(process);
        return index < 0 ? 0 : index;
    }

    static Failure failure(String step, String peer, String detail) {
        return new Failure(step, peer, detail);
    }

    private void sendPeer(SimProcess from, ProcessId to, PeerMessage message) {
        SimProcess target = byId.get(to);
        boolean connected = from.connected().contains(to) && target.alive() && !cut(from.member(), target.member());
        if (!connected) {
            time.schedule(Duration.ofMillis(1), () -> deliver(from, new NodeEvent.PeerLost(to)));
            return;
        }
        Duration latency = Duration.ofMillis(crosses(from.member(), target.member()) ? 30 : 1);
        time.step(
                StepType.PEER_MESSAGE,
                index(from),
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
        if (target == null || from.connected().contains(to) || cut(from.member(), target.member())) {
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

    /** Tells whether nothing crosses from the far region to the home region, or back. */
    boolean cutFromHome(boolean towardsHome) {
        return time.now().isBefore(cutUntil) && (cutBothWays || towardsHome);
    }

    private boolean cut(Member from, Member to) {
        if (!time.now().isBefore(cutUntil) || !crosses(from, to)) {
            return false;
        }
        return cutBothWays || !from.region().equals(configuration.homeRegion());
    }

    private static boolean crosses(Member left, Member right) {
        return !left.region().equals(right.region());
    }

    Instant now() {
        return time.now();
    }

    int steps() {
        return time.steps();
    }

    SessionStore store() {
        return store;
    }

    SessionWorkers workerCalls() {
        return workerCalls;
    }

    SessionCallers callers() {
        return callers;
    }

    /** Runs until a time. */
    void runUntil(Duration sinceStart) {
        Instant end = START.plus(sinceStart);
        time.runUntil(end);
        workers.values().stream()
                .filter(worker -> !worker.dead())
                .forEach(worker -> worker.model().advance(end));
    }
}
