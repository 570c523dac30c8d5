package org.flamingopitch.scheduler.shard;

import com.fasterxml.jackson.core.JsonFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.journal.Journal;
import org.flamingopitch.coordination.journal.JournalSettings;
import org.flamingopitch.coordination.journal.JournalState;
import org.flamingopitch.coordination.journal.JournalStatistics;
import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.coordination.once.IdempotencyPolicy;
import org.flamingopitch.coordination.ownership.OwnershipGroup;
import org.flamingopitch.scheduler.message.JobAnswer;
import org.flamingopitch.scheduler.message.JobCommand;
import org.flamingopitch.scheduler.message.TaskStatus;
import org.flamingopitch.scheduler.model.KindRule;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.Reason;
import org.flamingopitch.scheduler.node.AuditType;
import org.flamingopitch.scheduler.node.NodeContext;
import org.flamingopitch.scheduler.node.NodeTimings;
import org.flamingopitch.scheduler.node.ShardStatus;

/** Owns a shard: its idempotency keys and its jobs. */
public final class ShardService implements JournalState<ShardRecord> {

    private static final String STEP = "shard.admit";

    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    private static final JsonCodec CODEC = new JsonCodec(new JsonFactory(), ShardRecord.class, Outcome.class);

    private final ShardScope scope;

    private final OnceKeeper once;

    private final JobKeeper jobs;

    private Runnable handOverDone = () -> {};

    private boolean endRecorded;

    /**
     * Creates the owner's side of a shard.
     *
     * @param context the core
     * @param shard the shard
     * @param epoch the epoch of this ownership
     * @param ownership tells whether this process may act
     * @param timings the times
     * @param settings the bounds of the journal
     * @param policy how keys are kept from running twice
     * @param keyPrefix the prefix of the journals' keys
     * @param port the rest of the process
     */
    public ShardService(
            NodeContext context,
            PartitionId shard,
            long epoch,
            OwnershipGroup ownership,
            NodeTimings timings,
            JournalSettings settings,
            IdempotencyPolicy policy,
            String keyPrefix,
            ShardPort port) {
        this.scope = new ShardScope(context, shard, ownership, timings, port);
        this.once = new OnceKeeper(scope, policy);
        this.jobs = new JobKeeper(scope);
        String prefix = keyPrefix + shard + "/";
        scope.journal(new Journal<>(
                context, prefix, context.self().value(), epoch, settings, CODEC, ShardRecord.class, this));
    }

    /** Reads the journal back, as soon as this process may act for the shard. */
    public void start() {
        if (scope.closed()) {
            return;
        }
        if (!scope.active()) {
            scope.context().schedule(RETRY_DELAY, this::start);
            return;
        }
        Instant startedAt = scope.now();
        scope.journal().recover(() -> applyRecovered(startedAt));
    }

    /** Ends this owner's work. */
    public void close() {
        scope.close();
    }

    /**
     * Runs the work of a key at most once.
     *
     * @param key the key
     * @param rule the rule of its kind
     * @param payload the request
     * @param deadline when the caller stops waiting
     * @param reply receives the outcome; never, if this owner loses the shard first
     */
    public void execute(IdempotencyKey key, KindRule rule, Payload payload, Instant deadline, Consumer<Outcome> reply) {
        Optional<Reason> refusal = refusal();
        if (refusal.isPresent()) {
            reply.accept(Outcome.notRun(refusal.get(), STEP, scope.shard().value()));
            return;
        }
        once.execute(key, rule, payload, deadline, reply);
    }

    /**
     * Carries a job command out.
     *
     * @param command the command
     * @param reply receives the answer; never, if this owner loses the shard first
     */
    public void command(JobCommand command, Consumer<JobAnswer> reply) {
        Optional<Reason> refusal = refusal();
        if (refusal.isPresent()) {
            Failure failure =
                    new Failure(STEP, scope.shard().value(), refusal.get().text());
            reply.accept(new JobAnswer.Refused(refusal.get(), failure));
            return;
        }
        jobs.command(command, reply);
    }

    /**
     * Applies what a rack's owner tells of tasks.
     *
     * @param rack the rack
     * @param states the states
     */
    public void tell(PartitionId rack, List<TaskStatus> states) {
        if (scope.journal().ready() && scope.active()) {
            jobs.tell(rack, states);
        }
    }

    /** Does what is due; called at short intervals. */
    public void poll() {
        if (!scope.journal().ready() || scope.closed()) {
            return;
        }
        once.poll();
        jobs.poll();
        finishHandOver();
    }

    /**
     * Takes nothing new and waits until everything is on record.
     *
     * @param done runs then
     */
    public void handOver(Runnable done) {
        handOverDone = done;
        scope.beginHandOver();
    }

    /**
     * Tells the state of the shard.
     *
     * @return the state
     */
    public ShardStatus status() {
        JournalStatistics figures = scope.journal().statistics();
        return new ShardStatus(
                scope.shard(),
                scope.journal().ready(),
                scope.journal().healthy(),
                once.keys(),
                jobs.jobs(),
                jobs.openJobs(),
                figures.writes(),
                figures.records());
    }

    @Override
    public void replay(ShardRecord record) {
        once.replay(record);
        jobs.replay(record);
    }

    @Override
    public List<ShardRecord> snapshot() {
        List<ShardRecord> records = new ArrayList<>(once.snapshot());
        records.addAll(jobs.snapshot());
        return records;
    }

    @Override
    public void onEpochStart() {
        once.ownerChanged();
    }

    @Override
    public void onFenced() {
        scope.close();
    }

    private void applyRecovered(Instant startedAt) {
        once.recovered();
        jobs.recovered();
        long millis = scope.now().toEpochMilli() - startedAt.toEpochMilli();
        String detail = "keys=" + once.keys() + " jobs=" + jobs.jobs() + " millis=" + millis;
        scope.context().audit(AuditType.PARTITION_RECOVERED, scope.shard().value(), detail);
    }

    private Optional<Reason> refusal() {
        if (scope.closed()) {
            return Optional.of(Reason.NOT_OWNER);
        }
        if (!scope.journal().ready()) {
            return Optional.of(Reason.RECOVERING);
        }
        if (scope.handingOver()) {
            return Optional.of(Reason.HANDING_OVER);
        }
        return scope.active() ? Optional.empty() : Optional.of(Reason.LEASE_LAPSED);
    }

    private void finishHandOver() {
        if (!scope.handingOver() || !once.idle() || !scope.journal().allDurable()) {
            return;
        }
        if (!endRecorded) {
            endRecorded = true;
            scope.append(new ShardRecord.AllRecorded(), () -> {});
            return;
        }
        handOverDone.run();
    }
}
