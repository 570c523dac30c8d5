package org.flamingopitch.scheduler.node;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.ownership.OwnershipGroup;
import org.flamingopitch.scheduler.message.JobAnswer;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.KindRule;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Reason;
import org.flamingopitch.scheduler.rack.RackService;
import org.flamingopitch.scheduler.route.CallRouter;
import org.flamingopitch.scheduler.route.RackSelector;
import org.flamingopitch.scheduler.shard.ShardService;

/** Dispatches the messages of other processes to the service of the partition or to the call that they answer. */
final class PeerMessageDispatcher {

    private static final String STEP = "owner.receive";

    private static final Duration DUPLICATE_DETECTION_PERIOD = Duration.ofMinutes(1);

    private final NodeContext context;

    private final CoordinationServices coordination;

    private final PartitionServices partitionServices;

    private final RackSelector rackSelector;

    private final CallRouter<Outcome> requestRouter;

    private final CallRouter<JobAnswer> jobRouter;

    private final Map<ReceivedCall, Runnable> cancellations = new HashMap<>();

    private final Map<ReceivedCall, Instant> firstDeliveries = new HashMap<>();

    private Instant lastEviction = Instant.EPOCH;

    PeerMessageDispatcher(
            NodeContext context,
            CoordinationServices coordination,
            PartitionServices partitionServices,
            RackSelector rackSelector,
            CallRouter<Outcome> requestRouter,
            CallRouter<JobAnswer> jobRouter) {
        this.context = context;
        this.coordination = coordination;
        this.partitionServices = partitionServices;
        this.rackSelector = rackSelector;
        this.requestRouter = requestRouter;
        this.jobRouter = jobRouter;
    }

    void handle(ProcessId from, PeerMessage message) {
        if (handleCoordinationMessage(from, message) || handleAnswer(from, message) || handleTaskMessage(message)) {
            return;
        }
        if (message instanceof PeerMessage.Execute execute) {
            execute(from, execute);
        } else if (message instanceof PeerMessage.ExecuteOnce once) {
            executeAtMostOnce(from, once);
        } else if (message instanceof PeerMessage.AskJob ask) {
            executeJobCommand(from, ask);
        } else if (message instanceof PeerMessage.Cancel cancel) {
            cancel(new ReceivedCall(from, cancel.id()));
        }
    }

    void handleConnectionLost(ProcessId peer) {
        cancellations.keySet().stream()
                .filter(call -> call.peer().equals(peer))
                .toList()
                .forEach(this::cancel);
        requestRouter.handlePeerLost(peer);
        jobRouter.handlePeerLost(peer);
    }

    void handleTermination(ProcessId peer) {
        coordination.peerKnowledge().recordTerminated(peer);
        handleConnectionLost(peer);
    }

    private boolean handleCoordinationMessage(ProcessId from, PeerMessage message) {
        if (message instanceof PeerMessage.Introduce introduce) {
            coordination.peerKnowledge().addKnownPeer(introduce.member());
            context.send(from, new PeerMessage.Welcome(introduce.registration()));
        } else if (message instanceof PeerMessage.Welcome welcome) {
            handleWelcome(from, welcome);
        } else if (message instanceof PeerMessage.AskPromise ask) {
            handlePromiseRequest(from, ask);
        } else if (message instanceof PeerMessage.AnswerPromise answer) {
            coordination.group(answer.group()).promises().applyReply(from, answer.round(), answer.granted());
        } else if (message instanceof PeerMessage.TellLoad load) {
            load.racks().forEach(rackSelector::updateLoad);
        } else {
            return false;
        }
        return true;
    }

    private void handleWelcome(ProcessId from, PeerMessage.Welcome welcome) {
        if (welcome.registration() == coordination.membership().registration()) {
            coordination.peerKnowledge().recordKnownBy(from);
        }
    }

    private void handlePromiseRequest(ProcessId from, PeerMessage.AskPromise ask) {
        OwnershipGroup group = coordination.group(ask.group());
        boolean granted = group.promises().grantPromise(from, group.takeoverOutcomeUnknown());
        context.send(from, new PeerMessage.AnswerPromise(ask.group(), ask.round(), granted));
    }

    private boolean handleAnswer(ProcessId from, PeerMessage message) {
        if (message instanceof PeerMessage.Executed executed) {
            requestRouter.applyAnswer(from, executed.id(), executed.outcome());
            return true;
        }
        if (message instanceof PeerMessage.AnswerJob answer) {
            jobRouter.applyAnswer(from, answer.id(), answer.answer());
            return true;
        }
        return false;
    }

    /** Handles a message about tasks, from another process or from this one. Returns whether it was such a message. */
    boolean handleTaskMessage(PeerMessage message) {
        if (message instanceof PeerMessage.StartTask start) {
            findRule(start.kind()).ifPresent(rule -> withRack(start.rack(), rack -> rack.startTask(start, rule)));
        } else if (message instanceof PeerMessage.StopTask stop) {
            withRack(stop.rack(), rack -> rack.stopTask(stop.task(), stop.checkpoint()));
        } else if (message instanceof PeerMessage.QueryTasks query) {
            withRack(query.rack(), rack -> rack.queryTasks(query.tasks()));
        } else if (message instanceof PeerMessage.AcknowledgeTasks acknowledge) {
            withRack(acknowledge.rack(), rack -> rack.acknowledgeTasks(acknowledge.tasks()));
        } else if (message instanceof PeerMessage.TellTasks report) {
            notifyShards(report);
        } else {
            return false;
        }
        return true;
    }

    private void notifyShards(PeerMessage.TellTasks report) {
        if (coordination.config().current() == null) {
            return;
        }
        int shards = coordination.config().current().shards();
        report.tasks()
                .forEach(status -> partitionServices
                        .shard(ShardPartitioner.shardOf(status.task().job(), shards))
                        .ifPresent(shard -> shard.applyTaskStatuses(report.rack(), List.of(status))));
    }

    private void withRack(PartitionId rack, Consumer<RackService> action) {
        partitionServices.rack(rack).ifPresent(action);
    }

    private Optional<KindRule> findRule(KindName kind) {
        return Optional.ofNullable(coordination.config().current()).flatMap(current -> current.kind(kind));
    }

    private void execute(ProcessId from, PeerMessage.Execute message) {
        ReceivedCall call = new ReceivedCall(from, message.id());
        Optional<KindRule> rule = findRule(message.kind());
        boolean repeatable = rule.isPresent() && rule.get().repeatability().mayRunAgain();
        if (!repeatable && !isFirstDelivery(call)) {
            return;
        }
        Optional<RackService> rack = partitionServices.rack(message.rack());
        if (rule.isEmpty() || rack.isEmpty()) {
            reply(call, notRun(rule.isEmpty(), message.rack()));
            return;
        }
        Instant deadline = context.now().plusMillis(message.remainingMillis());
        cancellations.put(call, () -> {});
        Runnable cancel = rack.get().execute(rule.get(), message.payload(), deadline, outcome -> reply(call, outcome));
        cancellations.computeIfPresent(call, (id, previous) -> cancel);
    }

    private void executeAtMostOnce(ProcessId from, PeerMessage.ExecuteOnce message) {
        ReceivedCall call = new ReceivedCall(from, message.id());
        Optional<KindRule> rule = findRule(message.kind());
        Optional<ShardService> shard = partitionServices.shard(message.shard());
        if (rule.isEmpty() || shard.isEmpty()) {
            reply(call, notRun(rule.isEmpty(), message.shard()));
            return;
        }
        Instant deadline = context.now().plusMillis(message.remainingMillis());
        shard.get().execute(message.key(), rule.get(), message.payload(), deadline, outcome -> reply(call, outcome));
    }

    private void executeJobCommand(ProcessId from, PeerMessage.AskJob message) {
        Optional<ShardService> shard = partitionServices.shard(message.shard());
        if (shard.isEmpty()) {
            Failure failure = new Failure(STEP, message.shard().value(), Reason.NOT_OWNER.text());
            answerJob(from, message.id(), new JobAnswer.Refused(Reason.NOT_OWNER, failure));
            return;
        }
        shard.get().executeJobCommand(message.command(), answer -> answerJob(from, message.id(), answer));
    }

    private void answerJob(ProcessId to, long id, JobAnswer answer) {
        context.send(to, new PeerMessage.AnswerJob(id, answer));
    }

    private static Outcome notRun(boolean kindMissing, PartitionId partition) {
        Reason reason = kindMissing ? Reason.NOT_CONFIGURED : Reason.NOT_OWNER;
        return Outcome.notRun(reason, STEP, partition.value());
    }

    private void reply(ReceivedCall call, Outcome outcome) {
        cancellations.remove(call);
        context.send(call.peer(), new PeerMessage.Executed(call.id(), outcome));
    }

    private void cancel(ReceivedCall call) {
        Runnable cancel = cancellations.get(call);
        if (cancel != null) {
            cancel.run();
        }
    }

    /** Returns whether a call is new. A duplicate of its message must not run work again that is not idempotent. */
    private boolean isFirstDelivery(ReceivedCall call) {
        Instant now = context.now();
        if (now.isAfter(lastEviction.plus(DUPLICATE_DETECTION_PERIOD))) {
            Instant retentionStart = lastEviction;
            firstDeliveries.values().removeIf(at -> at.isBefore(retentionStart));
            lastEviction = now;
        }
        return firstDeliveries.putIfAbsent(call, now) == null;
    }

    private record ReceivedCall(ProcessId peer, long id) {}
}
