package org.flamingopitch.scheduler.session;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.model.Configuration;
import org.flamingopitch.scheduler.model.DataCentreSpec;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Reason;
import org.flamingopitch.scheduler.model.WorkerId;
import org.flamingopitch.scheduler.node.AuditEvent;
import org.flamingopitch.scheduler.node.CallerAnswer;
import org.flamingopitch.scheduler.node.CallerRequest;
import org.flamingopitch.scheduler.node.NodeEffect;
import org.flamingopitch.scheduler.node.NodeEvent;
import org.flamingopitch.scheduler.node.NodeSettings;
import org.flamingopitch.scheduler.node.SchedulerNode;
import org.flamingopitch.scheduler.worker.HostStatus;
import org.flamingopitch.scheduler.worker.TaskReport;
import org.flamingopitch.scheduler.worker.WorkerRequest;
import org.flamingopitch.scheduler.worker.WorkerResult;

/** Runs cores against fakes at their ports, on a fake clock; a fault can strike at any delivery. */
final class Session {

    static final Instant START = Instant.parse("2026-01-05T06:00:00Z");

    private static final Duration TICK = Duration.ofMillis(20);

    private static final Duration STORE_TIMEOUT = Duration.ofMillis(700);

    private static final Duration WORKER_TIMEOUT = Duration.ofMillis(1_000);

    private static final Duration REPLACE_AFTER = Duration.ofSeconds(1);

    private static final Duration EXIT_AFTER = Duration.ofMillis(10);

    private static final Duration BALANCER_LAG = Duration.ofSeconds(1);

    private static final int MAX_TRIES = 3;

    private final Deployment deployment;

    private final Configuration configuration;

    private final UnaryOperator<NodeSettings> settings;

    private final List<FaultAt> faults;

    private final Sabotage sabotage;

    private final PriorityQueue<Scheduled> queue =
            new PriorityQueue<>(Comparator.comparing(Scheduled::at).thenComparingLong(Scheduled::sequence));

    private final List<SimProcess> processes = new ArrayList<>();

    private final Map<ProcessId, SimProcess> byId = new HashMap<>();

    private final Map<String, SimWorker> workers = new TreeMap<>();

    private final Map<Long, CallRecord> openCalls = new HashMap<>();

    private final Map<Long, Integer> callProcess = new HashMap<>();

    private final TreeSet<String> leaving = new TreeSet<>();

    private final List<StoreAnswer> storeAnswers = new ArrayList<>();

    private final SessionLog log = new SessionLog();

    private final SimStore store = new SimStore();

    private WorkerResult lastExecuted;

    private Instant now = START;

    private long sequence;

    private long lastCaller;

    private int steps;

    private int incarnations;

    private int races;

    private Instant storeDownUntil = Instant.EPOCH;

    private Instant storeSlowUntil = Instant.EPOCH;

    private Duration storeDelay = Duration.ZERO;

    private Instant loseAnswersUntil = Instant.EPOCH;

    private int loseAnswersOf = -1;

    private Instant cutUntil = Instant.EPOCH;

    private boolean cutBothWays;

    Session(Deployment deployment, UnaryOperator<NodeSettings> settings, List<FaultAt> faults, Sabotage sabotage) {
        this.deployment = deployment;
        this.configuration = deployment.configuration();
        this.settings = settings;
        this.faults = faults;
        this.sabotage = sabotage;
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

    Instant now() {
        return now;
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

    SimStore store() {
        return store;
    }

    int steps() {
        return steps;
    }

    /** Starts the entry hosts and applies the configuration. */
    void start() {
        for (String place : deployment.hostPlaces()) {
            processes.add(null);
            startProcess(processes.size() - 1, place);
        }
        schedule(Duration.ofMillis(5), this::tickStore);
        schedule(Duration.ofMillis(10), this::tellHosts);
        schedule(Duration.ofMillis(100), () -> propose(0, 0, "operator"));
    }

    /** Runs until a time. */
    void runUntil(Duration sinceStart) {
        Instant end = START.plus(sinceStart);
        while (!queue.isEmpty() && !queue.peek().at().isAfter(end)) {
            Scheduled next = queue.poll();
            now = next.at();
            next.action().run();
        }
        now = end;
        workers.values().stream()
                .filter(worker -> !worker.dead())
                .forEach(worker -> worker.model().advance(end));
    }

    /** Lets a caller ask; it tries again elsewhere if its connection is cut. */
    void call(Duration sinceStart, int process, CallRecord call) {
        schedule(Duration.between(now, START.plus(sinceStart)), () -> send(call, process));
    }

    void propose(int process, long expected, String who) {
        String document = JsonCodec.json().encode(configuration);
        CallRecord call = new CallRecord(who, new CallerRequest.ProposeConfig(document, expected, who), "");
        send(call, process);
    }

    void drain(int process) {
        SimProcess target = processes.get(process);
        target.askDrain();
        log.drained(now, target.id());
        deliver(target, new NodeEvent.DrainAsked());
    }

    void kill(int process, boolean portRefuses) {
        SimProcess target = processes.get(process);
        if (!target.alive()) {
            return;
        }
        target.end(portRefuses);
        log.disturbed(now.plus(REPLACE_AFTER));
        log.note(now, "killed " + target.id());
        for (SimProcess other : processes) {
            if (other.connected().remove(target.id()) && portRefuses) {
                schedule(Duration.ofMillis(1), () -> deliver(other, new NodeEvent.PeerLost(target.id())));
            }
        }
        cutCallers(process);
        String place = target.member().dataCentre();
        schedule(REPLACE_AFTER, () -> startProcess(process, place));
    }

    void freeze(int process, Duration duration, boolean beforeWrite) {
        SimProcess target = processes.get(process);
        target.freeze(now.plus(duration), beforeWrite);
        log.disturbed(now.plus(duration));
        log.note(now, "frozen " + target.id());
        schedule(duration, () -> thaw(target));
    }

    void storeDown(Duration duration) {
        storeDownUntil = now.plus(duration);
        log.disturbed(now.plus(duration));
        store.dropWatches();
        log.note(now, "store down");
        for (SimProcess process : processes) {
            schedule(Duration.ofMillis(2), () -> failWatches(process));
        }
    }

    void storeSlow(Duration duration, Duration delay) {
        storeSlowUntil = now.plus(duration);
        log.disturbed(now.plus(duration));
        storeDelay = delay;
        log.note(now, "store slow");
    }

    void loseStoreAnswers(int process, Duration duration) {
        loseAnswersOf = process;
        loseAnswersUntil = now.plus(duration);
        log.note(now, "store answers lost");
    }

    void killWorker(String worker) {
        if (!worker.isEmpty()) {
            workers.get(worker).kill(now);
            log.note(now, "killed " + worker);
        }
    }

    void silenceWorker(String worker, Duration duration) {
        if (!worker.isEmpty()) {
            workers.get(worker).silence(now.plus(duration));
            log.note(now, "silenced " + worker);
        }
    }

    void leave(String worker) {
        if (!worker.isEmpty() && leaving.add(worker)) {
            log.leaving(now, worker);
        }
    }

    void cutLink(Duration duration, boolean bothWays) {
        cutUntil = now.plus(duration);
        log.disturbed(now.plus(duration));
        cutBothWays = bothWays;
        log.note(now, "link cut");
        for (SimProcess left : processes) {
            for (SimProcess right : processes) {
                if (crosses(left.member(), right.member()) && left.connected().remove(right.id())) {
                    deliver(left, new NodeEvent.PeerLost(right.id()));
                }
            }
        }
    }

    void raceOperators() {
        races++;
        long expected = log.highestAcceptedVersion();
        propose(0, expected, "racer-a" + races);
        propose(processes.size() - 1, expected, "racer-b" + races);
    }

    private void startProcess(int index, String place) {
        incarnations++;
        ProcessId id = new ProcessId("entry-" + (index + 1) + "." + incarnations);
        Member member = new Member(id, place, deployment.region(place), "10.0.1." + incarnations + ":1", false);
        NodeSettings nodeSettings = settings.apply(NodeSettings.defaults(member, incarnations));
        SchedulerNode node =
                new SchedulerNode(nodeSettings, text -> JsonCodec.json().decode(text, Configuration.class));
        SimProcess process = new SimProcess(member, node, now);
        processes.set(index, process);
        byId.put(id, process);
        execute(process, node.start(now));
        tick(process);
    }

    private void tick(SimProcess process) {
        if (!process.alive()) {
            return;
        }
        deliver(process, new NodeEvent.Tick());
        schedule(TICK, () -> tick(process));
    }

    private void tickStore() {
        if (now.isAfter(storeDownUntil)) {
            store.tick(now);
        }
        schedule(TICK, this::tickStore);
    }

    private void tellHosts() {
        if (sabotage == Sabotage.HIDDEN_HOST_LIST) {
            return;
        }
        List<HostStatus> hosts = workers.keySet().stream()
                .map(worker -> new HostStatus(new WorkerId(worker), leaving.contains(worker)))
                .toList();
        processes.forEach(process -> deliver(process, new NodeEvent.HostsListed(hosts)));
        schedule(Duration.ofSeconds(1), this::tellHosts);
    }

    private void thaw(SimProcess process) {
        List<Runnable> events = List.copyOf(process.heldEvents());
        List<NodeEffect> effects = List.copyOf(process.heldEffects());
        process.heldEvents().clear();
        process.heldEffects().clear();
        execute(process, effects);
        events.forEach(Runnable::run);
    }

    private void deliver(SimProcess process, NodeEvent event) {
        if (!process.alive()) {
            return;
        }
        if (process.frozen(now)) {
            if (!(event instanceof NodeEvent.Tick)) {
                process.heldEvents().add(() -> deliver(process, event));
            }
            return;
        }
        log.event(now, process.id(), event);
        List<NodeEffect> effects = process.node().apply(now, event);
        if (process.holdsWrites(now)) {
            process.heldEffects().addAll(effects);
            return;
        }
        execute(process, effects);
    }

    private void execute(SimProcess process, List<NodeEffect> effects) {
        for (NodeEffect effect : effects) {
            log.effect(now, process.id(), effect);
            execute(process, effect);
        }
    }

    private void execute(SimProcess process, NodeEffect effect) {
        if (effect instanceof NodeEffect.CallKeyValue call) {
            callStore(process, call);
        } else if (effect instanceof NodeEffect.CallWorker call) {
            callWorker(process, call);
        } else if (effect instanceof NodeEffect.SendPeer send) {
            sendPeer(process, send.to(), send.message());
        } else if (effect instanceof NodeEffect.AnswerCaller answer) {
            step(
                    StepType.CALLER_ANSWER,
                    index(process),
                    "",
                    Duration.ofMillis(1),
                    () -> cutCaller(answer.caller()),
                    () -> answered(answer));
        } else if (effect instanceof NodeEffect.ConnectPeers connect) {
            connect.peers().forEach(peer -> connect(process, peer.id()));
        } else if (effect instanceof NodeEffect.RecordAudit record) {
            audited(process, record.event());
        } else if (effect instanceof NodeEffect.Drained) {
            schedule(EXIT_AFTER, () -> exit(process));
        }
    }

    private void exit(SimProcess process) {
        if (!process.alive()) {
            return;
        }
        process.end(true);
        log.exited(process.id());
        int index = index(process);
        cutCallers(index);
        String place = process.member().dataCentre();
        schedule(REPLACE_AFTER, () -> startProcess(index, place));
    }

    private void audited(SimProcess process, AuditEvent event) {
        log.audit(now, process.id(), event);
    }

    private int index(SimProcess process) {
        int index = processes.indexOf(process);
        return index < 0 ? 0 : index;
    }

    private void callStore(SimProcess process, NodeEffect.CallKeyValue call) {
        boolean watch = call.request() instanceof KeyValueRequest.Watch;
        Duration latency = latencyToStore(process);
        StoreAnswer answer = new StoreAnswer(process, call.call());
        if (!watch) {
            schedule(STORE_TIMEOUT, answer::timeOut);
        } else {
            schedule(((KeyValueRequest.Watch) call.request()).maxWait().plus(STORE_TIMEOUT), answer::timeOut);
        }
        storeAnswers.add(answer);
        step(
                StepType.STORE_CALL,
                index(process),
                "",
                latency,
                answer::refuse,
                () -> storeReceives(process, call, answer));
    }

    private void failWatches(SimProcess process) {
        for (StoreAnswer answer : List.copyOf(storeAnswers)) {
            if (answer.process == process) {
                answer.refuse();
            }
        }
    }

    private void storeReceives(SimProcess process, NodeEffect.CallKeyValue call, StoreAnswer answer) {
        if (now.isBefore(storeDownUntil)) {
            schedule(Duration.ofMillis(2), answer::refuse);
            return;
        }
        if (cutFromStore(process, true)) {
            return;
        }
        if (sabotage == Sabotage.FORGETFUL_JOURNAL && journalWrite(call.request())) {
            answerFromStore(process, new KeyValueResult.Written(1), answer);
            return;
        }
        boolean hidden = sabotage == Sabotage.HIDDEN_CHANGES && index(process) == processes.size() - 1;
        boolean follows =
                call.request() instanceof KeyValueRequest.Watch || call.request() instanceof KeyValueRequest.ListPrefix;
        if (hidden && follows) {
            return;
        }
        store.call(now, call.request(), result -> answerFromStore(process, result, answer));
    }

    private static boolean journalWrite(KeyValueRequest request) {
        return request instanceof KeyValueRequest.Put put
                && put.key().contains("/segment/")
                && !put.value().contains("fence");
    }

    private void answerFromStore(SimProcess process, KeyValueResult result, StoreAnswer answer) {
        boolean lost = now.isBefore(loseAnswersUntil) && loseAnswersOf == index(process);
        if (lost || cutFromStore(process, false)) {
            return;
        }
        Duration delay = now.isBefore(storeSlowUntil) ? storeDelay : Duration.ZERO;
        Duration latency = latencyToStore(process).plus(delay);
        step(StepType.STORE_ANSWER, index(process), "", latency, () -> {}, () -> answer.arrive(result));
    }

    private boolean cutFromStore(SimProcess process, boolean towardsStore) {
        boolean far = !process.member().region().equals(configuration.homeRegion());
        boolean cut = now.isBefore(cutUntil);
        return far && cut && (cutBothWays || towardsStore);
    }

    private Duration latencyToStore(SimProcess process) {
        return Duration.ofMillis(process.member().region().equals(configuration.homeRegion()) ? 2 : 31);
    }

    private void callWorker(SimProcess process, NodeEffect.CallWorker call) {
        String name = call.worker().name().value();
        SimWorker worker = workers.get(name);
        WorkerAnswer answer = new WorkerAnswer(process, call.call());
        if (!now.isBefore(call.notAfter())) {
            answer.arriveSoon(new WorkerResult.NotSent(failure("worker.write", name, "too late to send")));
            return;
        }
        if (worker.dead()) {
            answer.arriveSoon(new WorkerResult.NotSent(failure("worker.connect", name, "connection refused")));
            return;
        }
        Duration timeout = call.request() instanceof WorkerRequest.Execute
                ? Duration.between(now, call.notAfter()).plus(WORKER_TIMEOUT)
                : WORKER_TIMEOUT;
        WorkerResult lost = lost(failure("worker.wait", name, "no answer in time"));
        schedule(timeout, () -> answer.arrive(lost));
        Runnable onLoss = () -> answer.arriveSoon(lost);
        step(
                StepType.WORKER_CALL,
                index(process),
                name,
                Duration.ofMillis(1),
                onLoss,
                () -> workerReceives(process, worker, call.request(), answer));
    }

    private void workerReceives(SimProcess process, SimWorker worker, WorkerRequest request, WorkerAnswer answer) {
        if (worker.dead() || worker.silent(now)) {
            return;
        }
        worker.call(
                now,
                request,
                (duration, completion) ->
                        schedule(duration, () -> workerCompletes(process, worker, completion, answer)));
    }

    private void workerCompletes(
            SimProcess process, SimWorker worker, SimWorker.WorkerCompletion completion, WorkerAnswer answer) {
        if (worker.dead()) {
            return;
        }
        WorkerResult result = withoutCheckpoint(crossed(completion.complete(now)));
        if (worker.silent(now)) {
            return;
        }
        WorkerResult lost = lost(failure("worker.read", worker.name(), "connection closed"));
        if (sabotage == Sabotage.HIDDEN_REPORTS && result instanceof WorkerResult.Reported) {
            return;
        }
        step(
                StepType.WORKER_ANSWER,
                index(process),
                worker.name(),
                Duration.ofMillis(1),
                () -> answer.arrive(lost),
                () -> answer.arrive(result));
    }

    private WorkerResult lost(Failure failure) {
        return sabotage.hidesLostAnswers() ? new WorkerResult.NotSent(failure) : new WorkerResult.Lost(failure);
    }

    private WorkerResult crossed(WorkerResult result) {
        if (sabotage != Sabotage.CROSSED_ANSWERS || !(result instanceof WorkerResult.Executed)) {
            return result;
        }
        WorkerResult other = lastExecuted == null ? result : lastExecuted;
        lastExecuted = result;
        return other;
    }

    private WorkerResult withoutCheckpoint(WorkerResult result) {
        if (sabotage != Sabotage.FORGOTTEN_CHECKPOINT || !(result instanceof WorkerResult.TaskChanged changed)) {
            return result;
        }
        TaskReport report = changed.report();
        return new WorkerResult.TaskChanged(
                new TaskReport(report.task(), report.kind(), report.size(), report.phase(), "", report.result()));
    }

    private static Failure failure(String step, String peer, String detail) {
        return new Failure(step, peer, detail);
    }

    private void sendPeer(SimProcess from, ProcessId to, PeerMessage message) {
        SimProcess target = byId.get(to);
        boolean connected = from.connected().contains(to) && target.alive() && !cut(from.member(), target.member());
        if (!connected) {
            schedule(Duration.ofMillis(1), () -> deliver(from, new NodeEvent.PeerLost(to)));
            return;
        }
        Duration latency = Duration.ofMillis(crosses(from.member(), target.member()) ? 30 : 1);
        step(
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
                schedule(Duration.ofMillis(2), () -> deliver(from, new NodeEvent.PeerGone(to)));
            }
            return;
        }
        from.connected().add(to);
        schedule(Duration.ofMillis(2), () -> deliver(from, new NodeEvent.PeerConnected(to)));
    }

    private boolean cut(Member from, Member to) {
        if (!now.isBefore(cutUntil) || !crosses(from, to)) {
            return false;
        }
        return cutBothWays || !from.region().equals(configuration.homeRegion());
    }

    private static boolean crosses(Member left, Member right) {
        return !left.region().equals(right.region());
    }

    /** Sends a request as the platform's balancer does: not to a process that has been shutting down for a while. */
    private void send(CallRecord call, int asked) {
        call.tried();
        int process = asked;
        while (log.drainingSince(processes.get(process).id()).isBefore(now.minus(BALANCER_LAG))) {
            process = (process + 1) % processes.size();
        }
        sendTo(call, process);
    }

    private void sendTo(CallRecord call, int process) {
        SimProcess target = processes.get(process);
        if (!target.alive()) {
            call.answered(now, null);
            log.cutOff(now, call.name(), target);
            retry(call, process);
            return;
        }
        lastCaller++;
        long caller = lastCaller;
        openCalls.put(caller, call);
        callProcess.put(caller, process);
        log.calls().add(call);
        Runnable cut = () -> {
            openCalls.remove(caller);
            call.answered(now, null);
            retry(call, process);
        };
        step(
                StepType.CALLER_REQUEST,
                process,
                "",
                Duration.ofMillis(1),
                cut,
                () -> deliver(target, new NodeEvent.CallerAsked(caller, call.request())));
    }

    private void answered(NodeEffect.AnswerCaller answer) {
        CallRecord call = openCalls.remove(answer.caller());
        if (call == null) {
            return;
        }
        call.answered(now, told(answer.answer()));
        log.answer(now, call.name(), answer.answer());
        if (retryable(answer.answer())) {
            retry(call, callProcess.get(answer.caller()));
        }
    }

    private CallerAnswer told(CallerAnswer answer) {
        boolean lie = sabotage == Sabotage.UNKNOWN_TOLD_AS_NOT_RUN
                && answer instanceof CallerAnswer.RunAnswer run
                && run.outcome() instanceof Outcome.Unknown;
        return lie ? new CallerAnswer.RunAnswer(Outcome.notRun(Reason.NO_CAPACITY, "sabotage", "none")) : answer;
    }

    private static boolean retryable(CallerAnswer answer) {
        String text = answer.toString();
        return text.contains("NotRun") || text.contains("Refused") || text.contains("Undecided");
    }

    private void cutCaller(long caller) {
        CallRecord call = openCalls.remove(caller);
        if (call != null) {
            call.answered(now, null);
            retry(call, callProcess.get(caller));
        }
    }

    private void cutCallers(int process) {
        for (Map.Entry<Long, CallRecord> entry : List.copyOf(openCalls.entrySet())) {
            if (callProcess.get(entry.getKey()) == process) {
                openCalls.remove(entry.getKey());
                entry.getValue().answered(now, null);
                log.cutOff(now, entry.getValue().name(), processes.get(process));
                retry(entry.getValue(), process);
            }
        }
    }

    private void retry(CallRecord call, int process) {
        if (call.tries() < MAX_TRIES) {
            schedule(Duration.ofMillis(400), () -> send(call, (process + 1) % processes.size()));
        }
    }

    /** Schedules a delivery at which a fault can strike. */
    private void step(StepType type, int process, String worker, Duration latency, Runnable onLoss, Runnable delivery) {
        Step step = new Step(steps, type, process, worker);
        steps++;
        log.step(step);
        Fate fate = Fate.NORMAL;
        for (FaultAt fault : faults) {
            if (fault.step() == step.index()) {
                log.note(now, "fault " + fault.fault() + " at step " + step.index() + " " + type);
                fate = fault.fault().strike(this, step);
            }
        }
        if (fate.lost()) {
            schedule(latency, onLoss);
            return;
        }
        schedule(latency.plus(fate.delay()), delivery);
        if (fate.twice()) {
            schedule(latency.plusMillis(3), delivery);
        }
    }

    private void schedule(Duration delay, Runnable action) {
        sequence++;
        queue.add(new Scheduled(now.plus(delay), sequence, action));
    }

    private record Scheduled(Instant at, long sequence, Runnable action) {}

    private final class StoreAnswer {

        private final SimProcess process;

        private final long call;

        private boolean ended;

        private StoreAnswer(SimProcess process, long call) {
            this.process = process;
            this.call = call;
        }

        private void arrive(KeyValueResult result) {
            storeAnswers.remove(this);
            ended = true;
            deliver(process, new NodeEvent.KeyValueAnswered(call, result));
        }

        private void refuse() {
            if (!ended) {
                arrive(new KeyValueResult.Failed(failure("kv.connect", "store", "connection refused")));
            }
        }

        private void timeOut() {
            if (!ended) {
                arrive(new KeyValueResult.Failed(failure("kv.wait", "store", "no answer in time")));
            }
        }
    }

    private final class WorkerAnswer {

        private final SimProcess process;

        private final long call;

        private WorkerAnswer(SimProcess process, long call) {
            this.process = process;
            this.call = call;
        }

        private void arrive(WorkerResult result) {
            deliver(process, new NodeEvent.WorkerAnswered(call, result));
        }

        private void arriveSoon(WorkerResult result) {
            schedule(Duration.ofMillis(1), () -> arrive(result));
        }
    }
}
