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
import org.flamingopitch.scheduler.route.LoadBoard;
import org.flamingopitch.scheduler.shard.ShardService;

/** Takes the messages of other processes. */
final class PeerDesk {

    private static final String STEP = "owner.receive";

    private static final Duration REMEMBER_MESSAGES = Duration.ofMinutes(1);

    private final NodeContext context;

    private final Coordination coordination;

    private final PartitionHost host;

    private final LoadBoard board;

    private final CallRouter<Outcome> requests;

    private final CallRouter<JobAnswer> jobs;

    private final Map<PeerCall, Runnable> cancellations = new HashMap<>();

    private final Map<PeerCall, Instant> received = new HashMap<>();

    private Instant lastForgotten = Instant.EPOCH;

    PeerDesk(
            NodeContext context,
            Coordination coordination,
            PartitionHost host,
            LoadBoard board,
            CallRouter<Outcome> requests,
            CallRouter<JobAnswer> jobs) {
        this.context = context;
        this.coordination = coordination;
        this.host = host;
        this.board = board;
        this.requests = requests;
        this.jobs = jobs;
    }

    void received(ProcessId from, PeerMessage message) {
        if (receivedCoordination(from, message) || receivedAnswer(from, message) || receivedTask(message)) {
            return;
        }
        if (message instanceof PeerMessage.Execute execute) {
            execute(from, execute);
        } else if (message instanceof PeerMessage.ExecuteOnce once) {
            executeOnce(from, once);
        } else if (message instanceof PeerMessage.AskJob ask) {
            askJob(from, ask);
        } else if (message instanceof PeerMessage.Cancel cancel) {
            cancel(new PeerCall(from, cancel.id()));
        }
    }

    void lost(ProcessId peer) {
        cancellations.keySet().stream()
                .filter(call -> call.peer().equals(peer))
                .toList()
                .forEach(this::cancel);
        requests.peerLost(peer);
        jobs.peerLost(peer);
    }

    void gone(ProcessId peer) {
        coordination.acquaintances().recordTerminated(peer);
        lost(peer);
    }

    private boolean receivedCoordination(ProcessId from, PeerMessage message) {
        if (message instanceof PeerMessage.Introduce introduce) {
            coordination.acquaintances().addKnownPeer(introduce.member());
            context.send(from, new PeerMessage.Welcome(introduce.registration()));
        } else if (message instanceof PeerMessage.Welcome welcome) {
            welcomed(from, welcome);
        } else if (message instanceof PeerMessage.AskPromise ask) {
            askPromise(from, ask);
        } else if (message instanceof PeerMessage.AnswerPromise answer) {
            coordination.group(answer.group()).promises().applyReply(from, answer.round(), answer.granted());
        } else if (message instanceof PeerMessage.TellLoad load) {
            load.racks().forEach(board::update);
        } else {
            return false;
        }
        return true;
    }

    private void welcomed(ProcessId from, PeerMessage.Welcome welcome) {
        if (welcome.registration() == coordination.membership().registration()) {
            coordination.acquaintances().recordKnownBy(from);
        }
    }

    private void askPromise(ProcessId from, PeerMessage.AskPromise ask) {
        OwnershipGroup group = coordination.group(ask.group());
        boolean granted = group.promises().grantPromise(from, group.takeoverOutcomeUnknown());
        context.send(from, new PeerMessage.AnswerPromise(ask.group(), ask.round(), granted));
    }

    private boolean receivedAnswer(ProcessId from, PeerMessage message) {
        if (message instanceof PeerMessage.Executed executed) {
            requests.applyAnswer(from, executed.id(), executed.outcome());
            return true;
        }
        if (message instanceof PeerMessage.AnswerJob answer) {
            jobs.applyAnswer(from, answer.id(), answer.answer());
            return true;
        }
        return false;
    }

    /** Takes a message about tasks; also called for messages of this process to itself. */
    boolean receivedTask(PeerMessage message) {
        if (message instanceof PeerMessage.StartTask start) {
            rule(start.kind()).ifPresent(rule -> withRack(start.rack(), rack -> rack.startTask(start, rule)));
        } else if (message instanceof PeerMessage.StopTask stop) {
            withRack(stop.rack(), rack -> rack.stopTask(stop.task(), stop.checkpoint()));
        } else if (message instanceof PeerMessage.QueryTasks query) {
            withRack(query.rack(), rack -> rack.queryTasks(query.tasks()));
        } else if (message instanceof PeerMessage.AcknowledgeTasks acknowledge) {
            withRack(acknowledge.rack(), rack -> rack.acknowledge(acknowledge.tasks()));
        } else if (message instanceof PeerMessage.TellTasks tell) {
            tellShards(tell);
        } else {
            return false;
        }
        return true;
    }

    private void tellShards(PeerMessage.TellTasks tell) {
        if (coordination.config().current() == null) {
            return;
        }
        int shards = coordination.config().current().shards();
        tell.tasks()
                .forEach(status -> host.shard(ShardUtil.shardOf(status.task().job(), shards))
                        .ifPresent(shard -> shard.tell(tell.rack(), List.of(status))));
    }

    private void withRack(PartitionId rack, Consumer<RackService> action) {
        host.rack(rack).ifPresent(action);
    }

    private Optional<KindRule> rule(KindName kind) {
        return Optional.ofNullable(coordination.config().current()).flatMap(current -> current.kind(kind));
    }

    private void execute(ProcessId from, PeerMessage.Execute message) {
        PeerCall call = new PeerCall(from, message.id());
        Optional<KindRule> rule = rule(message.kind());
        boolean repeatable = rule.isPresent() && rule.get().repeatability().mayRunAgain();
        if (!repeatable && !firstTime(call)) {
            return;
        }
        Optional<RackService> rack = host.rack(message.rack());
        if (rule.isEmpty() || rack.isEmpty()) {
            reply(call, notRun(rule.isEmpty(), message.rack()));
            return;
        }
        Instant deadline = context.now().plusMillis(message.remainingMillis());
        cancellations.put(call, () -> {});
        Runnable cancel = rack.get().execute(rule.get(), message.payload(), deadline, outcome -> reply(call, outcome));
        cancellations.computeIfPresent(call, (id, nothing) -> cancel);
    }

    private void executeOnce(ProcessId from, PeerMessage.ExecuteOnce message) {
        PeerCall call = new PeerCall(from, message.id());
        Optional<KindRule> rule = rule(message.kind());
        Optional<ShardService> shard = host.shard(message.shard());
        if (rule.isEmpty() || shard.isEmpty()) {
            reply(call, notRun(rule.isEmpty(), message.shard()));
            return;
        }
        Instant deadline = context.now().plusMillis(message.remainingMillis());
        shard.get().execute(message.key(), rule.get(), message.payload(), deadline, outcome -> reply(call, outcome));
    }

    private void askJob(ProcessId from, PeerMessage.AskJob message) {
        Optional<ShardService> shard = host.shard(message.shard());
        if (shard.isEmpty()) {
            Failure failure = new Failure(STEP, message.shard().value(), Reason.NOT_OWNER.text());
            answerJob(from, message.id(), new JobAnswer.Refused(Reason.NOT_OWNER, failure));
            return;
        }
        shard.get().command(message.command(), answer -> answerJob(from, message.id(), answer));
    }

    private void answerJob(ProcessId to, long id, JobAnswer answer) {
        context.send(to, new PeerMessage.AnswerJob(id, answer));
    }

    private static Outcome notRun(boolean kindMissing, PartitionId partition) {
        Reason reason = kindMissing ? Reason.NOT_CONFIGURED : Reason.NOT_OWNER;
        return Outcome.notRun(reason, STEP, partition.value());
    }

    private void reply(PeerCall call, Outcome outcome) {
        cancellations.remove(call);
        context.send(call.peer(), new PeerMessage.Executed(call.id(), outcome));
    }

    private void cancel(PeerCall call) {
        Runnable cancel = cancellations.get(call);
        if (cancel != null) {
            cancel.run();
        }
    }

    /** Recognises a second copy of a message, which must not run work again that is not idempotent. */
    private boolean firstTime(PeerCall call) {
        Instant now = context.now();
        if (now.isAfter(lastForgotten.plus(REMEMBER_MESSAGES))) {
            Instant bound = lastForgotten;
            received.values().removeIf(at -> at.isBefore(bound));
            lastForgotten = now;
        }
        return received.putIfAbsent(call, now) == null;
    }

    private record PeerCall(ProcessId peer, long id) {}
}
