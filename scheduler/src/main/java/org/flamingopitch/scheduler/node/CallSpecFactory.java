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
import org.flamingopitch.scheduler.route.RackSelector;
import org.flamingopitch.scheduler.route.RetryDecision;
import org.flamingopitch.scheduler.route.Route;
import org.flamingopitch.scheduler.shard.ShardService;

/**
 * Creates the calls to partition owners: a repeatable request goes to a rack; a request with an idempotency key and a
 * job command go to the shard of the key.
 */
final class CallSpecFactory {

    private static final String ROUTE_STEP = "entry.route";

    private static final String TIMED_OUT = "no answer in time";

    private static final String CONNECTION_LOST = "the connection to the owner was lost";

    private final NodeContext context;

    private final CoordinationServices coordination;

    private final PartitionServices partitionServices;

    private final RackSelector rackSelector;

    CallSpecFactory(
            NodeContext context,
            CoordinationServices coordination,
            PartitionServices partitionServices,
            RackSelector rackSelector) {
        this.context = context;
        this.coordination = coordination;
        this.partitionServices = partitionServices;
        this.rackSelector = rackSelector;
    }

    CallSpec<Outcome> forRequest(KindRule rule, Payload payload) {
        return new RequestCall(rule, payload);
    }

    CallSpec<Outcome> forAtMostOnceRequest(IdempotencyKey key, KindRule rule, Payload payload) {
        return new AtMostOnceCall(key, rule, payload);
    }

    CallSpec<JobAnswer> forJobCommand(JobCommand command) {
        return new JobCall(command);
    }

    Optional<ProcessId> reachableOwner(PartitionId partition) {
        return coordination.directory().owner(partition).filter(this::reachable);
    }

    private boolean reachable(ProcessId owner) {
        return owner.equals(context.self())
                || coordination.membership().member(owner).isPresent();
    }

    private Optional<Route> routeToShard(IdempotencyKey key) {
        Configuration configuration = coordination.config().current();
        if (configuration == null) {
            return Optional.empty();
        }
        PartitionId shard = ShardPartitioner.shardOf(key, configuration.shards());
        return reachableOwner(shard).map(owner -> new Route(shard, owner));
    }

    /** The common part of requests with and without an idempotency key. */
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
        public RetryDecision decideRetry(Outcome answer) {
            if (answer instanceof Outcome.NotRun notRun) {
                return notRun.reason().retryable() ? RetryDecision.RETRY_NOT_RUN : RetryDecision.FINAL;
            }
            boolean repeat =
                    answer instanceof Outcome.Unknown && rule.repeatability().mayRunAgain();
            return repeat ? RetryDecision.RETRY_OUTCOME_UNKNOWN : RetryDecision.FINAL;
        }

        @Override
        public boolean statesNotRun(Outcome answer) {
            return answer instanceof Outcome.NotRun;
        }

        @Override
        public Outcome answerOnTimeout(boolean mayHaveRun) {
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
        public Optional<Route> chooseRoute(Set<PartitionId> avoided) {
            return rackSelector
                    .chooseForRequest(avoided, rack -> reachableOwner(rack).isPresent())
                    .flatMap(rack -> reachableOwner(rack).map(owner -> new Route(rack, owner)));
        }

        @Override
        public PeerMessage createMessage(long id, PartitionId partition, Duration remaining) {
            return new PeerMessage.Execute(id, partition, rule().name(), payload(), remaining.toMillis());
        }

        @Override
        public Runnable callLocally(PartitionId partition, Duration remaining, Consumer<Outcome> reply) {
            Optional<RackService> rack = partitionServices.rack(partition);
            if (rack.isEmpty()) {
                reply.accept(Outcome.notRun(Reason.NOT_OWNER, ROUTE_STEP, partition.value()));
                return () -> {};
            }
            return rack.get().execute(rule(), payload(), context.now().plus(remaining), reply);
        }

        @Override
        public Optional<Outcome> answerOnConnectionLost() {
            if (rule().repeatability().mayRunAgain()) {
                return Optional.empty();
            }
            return Optional.of(Outcome.unknown(ROUTE_STEP, "rack owner", CONNECTION_LOST));
        }
    }

    private final class AtMostOnceCall extends OutcomeCall {

        private final IdempotencyKey key;

        private AtMostOnceCall(IdempotencyKey key, KindRule rule, Payload payload) {
            super(rule, payload, "shard owner");
            this.key = key;
        }

        @Override
        public Optional<Route> chooseRoute(Set<PartitionId> avoided) {
            return routeToShard(key).filter(route -> !avoided.contains(route.partition()));
        }

        @Override
        public PeerMessage createMessage(long id, PartitionId partition, Duration remaining) {
            return new PeerMessage.ExecuteOnce(id, partition, key, rule().name(), payload(), remaining.toMillis());
        }

        @Override
        public Runnable callLocally(PartitionId partition, Duration remaining, Consumer<Outcome> reply) {
            Optional<ShardService> shard = partitionServices.shard(partition);
            if (shard.isEmpty()) {
                reply.accept(Outcome.notRun(Reason.NOT_OWNER, ROUTE_STEP, partition.value()));
                return () -> {};
            }
            shard.get().execute(key, rule(), payload(), context.now().plus(remaining), reply);
            return () -> {};
        }

        @Override
        public Optional<Outcome> answerOnConnectionLost() {
            return Optional.empty();
        }
    }

    private final class JobCall implements CallSpec<JobAnswer> {

        private final JobCommand command;

        private JobCall(JobCommand command) {
            this.command = command;
        }

        @Override
        public Optional<Route> chooseRoute(Set<PartitionId> avoided) {
            return routeToShard(command.job()).filter(route -> !avoided.contains(route.partition()));
        }

        @Override
        public PeerMessage createMessage(long id, PartitionId partition, Duration remaining) {
            return new PeerMessage.AskJob(id, partition, command);
        }

        @Override
        public Runnable callLocally(PartitionId partition, Duration remaining, Consumer<JobAnswer> reply) {
            Optional<ShardService> shard = partitionServices.shard(partition);
            if (shard.isEmpty()) {
                reply.accept(refused(Reason.NOT_OWNER, partition.value()));
                return () -> {};
            }
            shard.get().executeJobCommand(command, reply);
            return () -> {};
        }

        @Override
        public RetryDecision decideRetry(JobAnswer answer) {
            boolean retry = answer instanceof JobAnswer.Refused refused
                    && refused.reason().retryable();
            return retry ? RetryDecision.RETRY_NOT_RUN : RetryDecision.FINAL;
        }

        @Override
        public Optional<JobAnswer> answerOnConnectionLost() {
            return Optional.empty();
        }

        @Override
        public boolean statesNotRun(JobAnswer answer) {
            return answer instanceof JobAnswer.Refused;
        }

        @Override
        public JobAnswer answerOnTimeout(boolean mayHaveRun) {
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
