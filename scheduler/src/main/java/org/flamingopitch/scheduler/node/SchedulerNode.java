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
import org.flamingopitch.scheduler.route.RackSelector;
import org.flamingopitch.scheduler.shard.ShardPort;

/**
 * The core of an entry host. A single thread calls it: each event is applied with the time at which it happened and
 * returns the effects to carry out. The core is deterministic: the same events yield the same effects.
 */
public final class SchedulerNode {

    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private final NodeSettings settings;

    private final EffectContext context;

    private final PartitionServices partitionServices;

    private final CoordinationServices coordination;

    private final RackSelector rackSelector;

    private final CallRouter<Outcome> requestRouter;

    private final CallRouter<JobAnswer> jobRouter;

    private final CallSpecFactory callSpecs;

    private final PeerMessageDispatcher peerMessages;

    private final CallerRequestDispatcher callerRequests;

    private Instant drainTimeoutAt = Instant.MAX;

    private Instant earliestDrainEnd = Instant.MAX;

    private boolean drained;

    /**
     * Creates the core.
     *
     * @param settings the settings
     * @param parser parses and validates the operators' configuration, throws IllegalArgumentException if it is invalid
     */
    public SchedulerNode(NodeSettings settings, Function<String, Configuration> parser) {
        this.settings = settings;
        this.context = new EffectContext(settings.self().id(), new SplittableRandom(settings.seed()));
        this.partitionServices = new PartitionServices(context, settings);
        this.coordination = new CoordinationServices(
                context, settings, parser, partitionServices.rackListener(), partitionServices.shardListener());
        this.rackSelector =
                new RackSelector(settings.self().dataCentre(), settings.self().region(), context.random());
        this.requestRouter = new CallRouter<>(context, settings.timings().routeRetryDelay());
        this.jobRouter = new CallRouter<>(context, settings.timings().routeRetryDelay());
        this.callSpecs = new CallSpecFactory(context, coordination, partitionServices, rackSelector);
        this.peerMessages = new PeerMessageDispatcher(
                context, coordination, partitionServices, rackSelector, requestRouter, jobRouter);
        this.callerRequests = new CallerRequestDispatcher(
                context, settings, coordination, callSpecs, requestRouter, jobRouter, this::status);
        partitionServices.initialize(coordination, new ShardNotifier(), new ShardServicePort());
        coordination.config().addListener(this::configurationChanged);
    }

    /**
     * Starts the core.
     *
     * @param now the current time
     * @return the effects, in the order in which they are to be carried out
     */
    public List<NodeEffect> start(Instant now) {
        context.advanceTo(now);
        coordination.start();
        pollPeriodically();
        sendLoadPeriodically();
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
        context.advanceTo(now);
        dispatch(event);
        context.advanceTo(now);
        return context.takeEffects();
    }

    /**
     * Returns the state of this process.
     *
     * @return the state
     */
    public NodeStatus status() {
        return new NodeStatus(
                context.self(),
                coordination.config().envelope().version(),
                coordination.membership().registered(),
                !coordination.membership().storeUnreachable(),
                callerRequests.draining(),
                List.copyOf(coordination.membership().members()),
                coordination.directory().entries(),
                partitionServices.rackStatuses(),
                partitionServices.shardStatuses());
    }

    private void dispatch(NodeEvent event) {
        if (event instanceof NodeEvent.WorkerAnswered answered) {
            context.completeWorkerCall(answered.call(), answered.result());
        } else if (event instanceof NodeEvent.KeyValueAnswered answered) {
            context.completeKeyValueCall(answered.call(), answered.result());
        } else if (event instanceof NodeEvent.PeerReceived received) {
            peerMessages.handle(received.from(), received.message());
        } else if (event instanceof NodeEvent.CallerAsked asked) {
            callerRequests.handle(asked.caller(), asked.request());
        } else if (event instanceof NodeEvent.CallerLeft left) {
            callerRequests.handleDisconnect(left.caller());
        } else if (event instanceof NodeEvent.PeerConnected connected) {
            coordination.sendIntroduction(connected.peer());
        } else if (event instanceof NodeEvent.PeerLost lost) {
            peerMessages.handleConnectionLost(lost.peer());
        } else if (event instanceof NodeEvent.PeerGone gone) {
            peerMessages.handleTermination(gone.peer());
        } else if (event instanceof NodeEvent.HostsListed listed) {
            partitionServices.hostsListed(listed.hosts());
        } else if (event instanceof NodeEvent.DrainAsked) {
            drain();
        }
    }

    private void configurationChanged(Configuration configuration) {
        long version = coordination.config().envelope().version();
        context.audit(AuditType.CONFIG_IN_FORCE, "config", "version=" + version);
        rackSelector.configurationChanged(configuration);
        partitionServices.configurationChanged();
    }

    private void pollPeriodically() {
        partitionServices.poll();
        finishDrainIfDone();
        context.schedule(POLL_INTERVAL, this::pollPeriodically);
    }

    private void sendLoadPeriodically() {
        List<RackLoad> loads = partitionServices.rackLoads();
        loads.forEach(rackSelector::updateLoad);
        if (!loads.isEmpty()) {
            PeerMessage message =
                    new PeerMessage.TellLoad(coordination.config().envelope().version(), loads);
            coordination.membership().members().stream()
                    .filter(member -> !member.id().equals(context.self()))
                    .forEach(member -> context.send(member.id(), message));
        }
        context.schedule(settings.timings().loadReportInterval(), this::sendLoadPeriodically);
    }

    private void drain() {
        if (callerRequests.draining()) {
            return;
        }
        context.audit(AuditType.DRAINING, context.self().value(), "hands over what it owns");
        drainTimeoutAt = context.now().plus(settings.drainTimeout());
        earliestDrainEnd = context.now().plus(settings.minDrainDuration());
        callerRequests.drain();
        coordination.membership().drain();
    }

    private void finishDrainIfDone() {
        if (!callerRequests.draining() || drained || !callerRequests.hasNoOpenRequests()) {
            return;
        }
        boolean drainTimedOut = context.now().isAfter(drainTimeoutAt);
        boolean minimumDrainTimePassed = !context.now().isBefore(earliestDrainEnd);
        if (drainTimedOut || (minimumDrainTimePassed && partitionServices.isEmpty())) {
            drained = true;
            coordination.stop();
            context.emit(new NodeEffect.Drained());
        }
    }

    private final class ShardNotifier implements RackPort {

        @Override
        public void sendTaskStatuses(PartitionId rack, List<TaskStatus> tasks) {
            int shards = coordination.config().current().shards();
            Map<ProcessId, List<TaskStatus>> byOwner = new TreeMap<>();
            for (TaskStatus status : tasks) {
                PartitionId shard = ShardPartitioner.shardOf(status.task().job(), shards);
                callSpecs
                        .reachableOwner(shard)
                        .ifPresent(owner -> byOwner.computeIfAbsent(owner, each -> new ArrayList<>())
                                .add(status));
            }
            byOwner.forEach((owner, statuses) -> sendTaskMessage(owner, new PeerMessage.TellTasks(rack, statuses)));
        }
    }

    private final class ShardServicePort implements ShardPort {

        @Override
        public Optional<KindRule> rule(KindName kind) {
            return coordination.config().current().kind(kind);
        }

        @Override
        public void execute(KindRule rule, Payload payload, Instant deadline, Consumer<Outcome> reply) {
            requestRouter.startCall(callSpecs.forRequest(rule, payload), deadline, reply);
        }

        @Override
        public Optional<PartitionId> chooseRack() {
            return rackSelector.chooseForTask(
                    rack -> callSpecs.reachableOwner(rack).isPresent());
        }

        @Override
        public void sendToRack(PartitionId rack, PeerMessage message) {
            callSpecs.reachableOwner(rack).ifPresent(owner -> sendTaskMessage(owner, message));
        }
    }

    private void sendTaskMessage(ProcessId owner, PeerMessage message) {
        if (owner.equals(context.self())) {
            context.schedule(Duration.ZERO, () -> peerMessages.handleTaskMessage(message));
            return;
        }
        context.send(owner, message);
    }
}
