package org.flamingopitch.scheduler.node;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.scheduler.message.JobAnswer;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.message.RackLoad;
import org.flamingopitch.scheduler.message.TaskStatus;
import org.flamingopitch.scheduler.model.Configuration;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.KindRule;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.rack.RackPort;
import org.flamingopitch.scheduler.route.CallRouter;
import org.flamingopitch.scheduler.route.LoadBoard;
import org.flamingopitch.scheduler.shard.ShardPort;

/**
 * The core of an entry host. It is driven by one thread: each event is applied with the time at which it happened, and
 * gives the effects to carry out. The same events give the same effects.
 */
public final class SchedulerNode {

    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private final NodeSettings settings;

    private final EffectContext context;

    private final PartitionHost host;

    private final Coordination coordination;

    private final LoadBoard board;

    private final CallRouter<Outcome> requests;

    private final CallRouter<JobAnswer> jobs;

    private final OwnerCalls calls;

    private final PeerDesk peers;

    private final CallerDesk callers;

    private Instant drainBy = Instant.MAX;

    private Instant lingerUntil = Instant.MAX;

    private boolean drained;

    /**
     * Creates the core.
     *
     * @param settings the settings
     * @param parser parses and checks the operators' configuration, throws IllegalArgumentException for a bad one
     */
    public SchedulerNode(NodeSettings settings, Function<String, Configuration> parser) {
        this.settings = settings;
        this.context = new EffectContext(settings.self().id(), new SplittableRandom(settings.seed()));
        this.host = new PartitionHost(context, settings);
        this.coordination = new Coordination(context, settings, parser, host.rackListener(), host.shardListener());
        this.board = new LoadBoard(settings.self().dataCentre(), settings.self().region(), context.random());
        this.requests = new CallRouter<>(context, settings.timings().routeRetryDelay());
        this.jobs = new CallRouter<>(context, settings.timings().routeRetryDelay());
        this.calls = new OwnerCalls(context, coordination, host, board);
        this.peers = new PeerDesk(context, coordination, host, board, requests, jobs);
        this.callers = new CallerDesk(context, settings, coordination, calls, requests, jobs, this::status);
        host.connect(coordination, new TellShards(), new ShardNeeds());
        coordination.config().addListener(this::configurationChanged);
    }

    /**
     * Starts the core.
     *
     * @param now the current time
     * @return the effects
     */
    public List<NodeEffect> start(Instant now) {
        context.advance(now);
        coordination.start();
        pollRegularly();
        tellLoadRegularly();
        return context.takeEffects();
    }

    /**
     * Applies an event.
     *
     * @param now when it happened
     * @param event the event
     * @return the effects, in the order in which they are to be carried out
     */
    public List<NodeEffect> apply(Instant now, NodeEvent event) {
        context.advance(now);
        dispatch(event);
        context.advance(now);
        return context.takeEffects();
    }

    /**
     * Tells the state of this process.
     *
     * @return the state
     */
    public NodeStatus status() {
        return new NodeStatus(
                context.self(),
                coordination.config().envelope().version(),
                coordination.membership().registered(),
                !coordination.membership().storeUnreachable(),
                callers.draining(),
                List.copyOf(coordination.membership().members()),
                coordination.directory().entries(),
                host.rackStates(),
                host.shardStates());
    }

    private void dispatch(NodeEvent event) {
        if (event instanceof NodeEvent.WorkerAnswered answered) {
            context.workerAnswered(answered.call(), answered.result());
        } else if (event instanceof NodeEvent.KeyValueAnswered answered) {
            context.keyValueAnswered(answered.call(), answered.result());
        } else if (event instanceof NodeEvent.PeerReceived received) {
            peers.received(received.from(), received.message());
        } else if (event instanceof NodeEvent.CallerAsked asked) {
            callers.asked(asked.caller(), asked.request());
        } else if (event instanceof NodeEvent.CallerLeft left) {
            callers.left(left.caller());
        } else if (event instanceof NodeEvent.PeerConnected connected) {
            coordination.introduceTo(connected.peer());
        } else if (event instanceof NodeEvent.PeerLost lost) {
            peers.lost(lost.peer());
        } else if (event instanceof NodeEvent.PeerGone gone) {
            peers.gone(gone.peer());
        } else if (event instanceof NodeEvent.HostsListed listed) {
            host.hostsListed(listed.hosts());
        } else if (event instanceof NodeEvent.DrainAsked) {
            drain();
        }
    }

    private void configurationChanged(Configuration configuration) {
        long version = coordination.config().envelope().version();
        context.audit(AuditType.CONFIG_IN_FORCE, "config", "version=" + version);
        board.configurationChanged(configuration);
        host.configurationChanged();
    }

    private void pollRegularly() {
        host.poll();
        finishDrain();
        context.schedule(POLL_INTERVAL, this::pollRegularly);
    }

    private void tellLoadRegularly() {
        List<RackLoad> loads = host.loads();
        loads.forEach(board::update);
        if (!loads.isEmpty()) {
            PeerMessage message =
                    new PeerMessage.TellLoad(coordination.config().envelope().version(), loads);
            coordination.membership().members().stream()
                    .filter(member -> !member.id().equals(context.self()))
                    .forEach(member -> context.send(member.id(), message));
        }
        context.schedule(settings.timings().loadInterval(), this::tellLoadRegularly);
    }

    private void drain() {
        if (callers.draining()) {
            return;
        }
        context.audit(AuditType.DRAINING, context.self().value(), "hands over what it owns");
        drainBy = context.now().plus(settings.drainDeadline());
        lingerUntil = context.now().plus(settings.drainLinger());
        callers.drain();
        coordination.membership().drain();
    }

    private void finishDrain() {
        if (!callers.draining() || drained || !callers.idle()) {
            return;
        }
        boolean late = context.now().isAfter(drainBy);
        boolean lingered = !context.now().isBefore(lingerUntil);
        if (late || (lingered && host.empty())) {
            drained = true;
            coordination.stop();
            context.emit(new NodeEffect.Drained());
        }
    }

    private final class TellShards implements RackPort {

        @Override
        public void tell(PartitionId rack, List<TaskStatus> tasks) {
            int shards = coordination.config().current().shards();
            Map<ProcessId, List<TaskStatus>> byOwner = new TreeMap<>();
            for (TaskStatus status : tasks) {
                PartitionId shard = ShardUtil.shardOf(status.task().job(), shards);
                calls.reachableOwner(shard)
                        .ifPresent(owner -> byOwner.computeIfAbsent(owner, each -> new ArrayList<>())
                                .add(status));
            }
            byOwner.forEach((owner, states) -> sendTask(owner, new PeerMessage.TellTasks(rack, states)));
        }
    }

    private final class ShardNeeds implements ShardPort {

        @Override
        public Optional<KindRule> rule(KindName kind) {
            return coordination.config().current().kind(kind);
        }

        @Override
        public void execute(KindRule rule, Payload payload, Instant deadline, Consumer<Outcome> reply) {
            requests.run(calls.request(rule, payload), deadline, reply);
        }

        @Override
        public Optional<PartitionId> chooseRack() {
            return board.chooseForTask(rack -> calls.reachableOwner(rack).isPresent());
        }

        @Override
        public void sendToRack(PartitionId rack, PeerMessage message) {
            calls.reachableOwner(rack).ifPresent(owner -> sendTask(owner, message));
        }
    }

    private void sendTask(ProcessId owner, PeerMessage message) {
        if (owner.equals(context.self())) {
            context.schedule(Duration.ZERO, () -> peers.receivedTask(message));
            return;
        }
        context.send(owner, message);
    }
}
