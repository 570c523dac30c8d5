package org.flamingopitch.scheduler.node;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.message.JobAnswer;
import org.flamingopitch.scheduler.message.JobCommand;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.model.Configuration;
import org.flamingopitch.scheduler.model.KindRule;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.Reason;
import org.flamingopitch.scheduler.rack.RackService;
import org.flamingopitch.scheduler.route.CallSpec;
import org.flamingopitch.scheduler.route.LoadBoard;
import org.flamingopitch.scheduler.route.Route;
import org.flamingopitch.scheduler.route.Verdict;
import org.flamingopitch.scheduler.shard.ShardService;

/** The calls that owners answer: a request to a rack, a request with a key to a shard, and a job command. */
final class OwnerCalls {

    private static final String ROUTE_STEP = "entry.route";

    private static final String TIMED_OUT = "no answer in time";

    private static final String CONNECTION_LOST = "the connection to the owner was lost";

    private final NodeContext context;

    private final Coordination coordination;

    private final PartitionHost host;

    private final LoadBoard board;

    OwnerCalls(NodeContext context, Coordination coordination, PartitionHost host, LoadBoard board) {
        this.context = context;
        this.coordination = coordination;
        this.host = host;
        this.board = board;
    }

    CallSpec<Outcome> request(KindRule rule, Payload payload) {
        return new RequestCall(rule, payload);
    }

    CallSpec<Outcome> requestOnce(IdempotencyKey key, KindRule rule, Payload payload) {
        return new OnceCall(key, rule, payload);
    }

    CallSpec<JobAnswer> job(JobCommand command) {
        return new JobCall(command);
    }

    Optional<ProcessId> reachableOwner(PartitionId partition) {
        return coordination.directory().owner(partition).filter(this::reachable);
    }

    private boolean reachable(ProcessId owner) {
        return owner.equals(context.self())
                || coordination.membership().member(owner).isPresent();
    }

    private Optional<Route> shardRoute(IdempotencyKey key) {
        Configuration configuration = coordination.config().current();
        if (configuration == null) {
            return Optional.empty();
        }
        PartitionId shard = ShardUtil.shardOf(key, configuration.shards());
        return reachableOwner(shard).map(owner -> new Route(shard, owner));
    }

    /** What requests with and without a key have in common. */
    private abstract static class OutcomeCall implements CallSpec<Outcome> {

        private final KindRule rule;

        private final Payload payload;

        private final String ownerName;

        private OutcomeCall(KindRule rule, Payload payload, String ownerName) {
            this.rule = rule;
            this.payload = payload;
            this.ownerName = ownerName;
        }

        KindRule rule() {
            return rule;
        }

        Payload payload() {
            return payload;
        }

        @Override
        public Verdict verdict(Outcome answer) {
            if (answer instanceof Outcome.NotRun notRun) {
                return notRun.reason().retryable() ? Verdict.RETRY_NOT_RUN : Verdict.FINAL;
            }
            boolean repeat =
                    answer instanceof Outcome.Unknown && rule.repeatability().mayRunAgain();
            return repeat ? Verdict.RETRY_IN_DOUBT : Verdict.FINAL;
        }

        @Override
        public boolean claimsNotRun(Outcome answer) {
            return answer instanceof Outcome.NotRun;
        }

        @Override
        public Outcome timedOut(boolean mayHaveRun) {
            return mayHaveRun
                    ? Outcome.unknown(ROUTE_STEP, ownerName, TIMED_OUT)
                    : Outcome.notRun(Reason.NO_CAPACITY, ROUTE_STEP, ownerName);
        }
    }

    private final class RequestCall extends OutcomeCall {

        private RequestCall(KindRule rule, Payload payload) {
            super(rule, payload, "rack owner");
        }

        @Override
        public Optional<Route> route(Set<PartitionId> avoided) {
            return board.chooseForRequest(avoided, rack -> reachableOwner(rack).isPresent())
                    .flatMap(rack -> reachableOwner(rack).map(owner -> new Route(rack, owner)));
        }

        @Override
        public PeerMessage message(long id, PartitionId partition, Duration remaining) {
            return new PeerMessage.Execute(id, partition, rule().name(), payload(), remaining.toMillis());
        }

        @Override
        public Runnable local(PartitionId partition, Duration remaining, Consumer<Outcome> reply) {
            Optional<RackService> rack = host.rack(partition);
            if (rack.isEmpty()) {
                reply.accept(Outcome.notRun(Reason.NOT_OWNER, ROUTE_STEP, partition.value()));
                return () -> {};
            }
            return rack.get().execute(rule(), payload(), context.now().plus(remaining), reply);
        }

        @Override
        public Optional<Outcome> connectionLost() {
            if (rule().repeatability().mayRunAgain()) {
                return Optional.empty();
            }
            return Optional.of(Outcome.unknown(ROUTE_STEP, "rack owner", CONNECTION_LOST));
        }
    }

    private final class OnceCall extends OutcomeCall {

        private final IdempotencyKey key;

        private OnceCall(IdempotencyKey key, KindRule rule, Payload payload) {
            super(rule, payload, "shard owner");
            this.key = key;
        }

        @Override
        public Optional<Route> route(Set<PartitionId> avoided) {
            return shardRoute(key).filter(route -> !avoided.contains(route.partition()));
        }

        @Override
        public PeerMessage message(long id, PartitionId partition, Duration remaining) {
            return new PeerMessage.ExecuteOnce(id, partition, key, rule().name(), payload(), remaining.toMillis());
        }

        @Override
        public Runnable local(PartitionId partition, Duration remaining, Consumer<Outcome> reply) {
            Optional<ShardService> shard = host.shard(partition);
            if (shard.isEmpty()) {
                reply.accept(Outcome.notRun(Reason.NOT_OWNER, ROUTE_STEP, partition.value()));
                return () -> {};
            }
            shard.get().execute(key, rule(), payload(), context.now().plus(remaining), reply);
            return () -> {};
        }

        @Override
        public Optional<Outcome> connectionLost() {
            return Optional.empty();
        }
    }

    private final class JobCall implements CallSpec<JobAnswer> {

        private final JobCommand command;

        private JobCall(JobCommand command) {
            this.command = command;
        }

        @Override
        public Optional<Route> route(Set<PartitionId> avoided) {
            return shardRoute(command.job()).filter(route -> !avoided.contains(route.partition()));
        }

        @Override
        public PeerMessage message(long id, PartitionId partition, Duration remaining) {
            return new PeerMessage.AskJob(id, partition, command);
        }

        @Override
        public Runnable local(PartitionId partition, Duration remaining, Consumer<JobAnswer> reply) {
            Optional<ShardService> shard = host.shard(partition);
            if (shard.isEmpty()) {
                reply.accept(refused(Reason.NOT_OWNER, partition.value()));
                return () -> {};
            }
            shard.get().command(command, reply);
            return () -> {};
        }

        @Override
        public Verdict verdict(JobAnswer answer) {
            boolean retry = answer instanceof JobAnswer.Refused refused
                    && refused.reason().retryable();
            return retry ? Verdict.RETRY_NOT_RUN : Verdict.FINAL;
        }

        @Override
        public Optional<JobAnswer> connectionLost() {
            return Optional.empty();
        }

        @Override
        public boolean claimsNotRun(JobAnswer answer) {
            return answer instanceof JobAnswer.Refused;
        }

        @Override
        public JobAnswer timedOut(boolean mayHaveRun) {
            if (!mayHaveRun) {
                return refused(Reason.OWNER_UNREACHABLE, "shard owner");
            }
            return new JobAnswer.Undecided(new Failure(ROUTE_STEP, "shard owner", TIMED_OUT));
        }

        private static JobAnswer refused(Reason reason, String peer) {
            return new JobAnswer.Refused(reason, new Failure(ROUTE_STEP, peer, reason.text()));
        }
    }
}
