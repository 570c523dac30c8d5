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

/** Owns a shard: manages its idempotency keys and jobs and records them in a journal. */
public final class ShardService implements JournalState<ShardRecord> {

    private static final String STEP = "shard.admit";

    private static final Duration START_RETRY_DELAY = Duration.ofMillis(100);

    private static final JsonCodec CODEC = new JsonCodec(new JsonFactory(), ShardRecord.class, Outcome.class);

    private final ShardContext shardContext;

    private final IdempotencyKeyManager keyManager;

    private final JobManager jobManager;

    private Runnable handOverDone = () -> {};

    private boolean handOverRecorded;

    /**
     * Creates the owner of a shard.
     *
     * @param context the process's clock, timers, messages and store calls
     * @param shard the shard
     * @param epoch the epoch of this ownership, which fences the journals of former owners
     * @param ownership the ownership of the shards, which determines whether this process may act
     * @param timings the delays, leases and intervals
     * @param settings the limits of the journal
     * @param policy decides whether a request with a new key may run
     * @param keyPrefix the prefix of the journals' keys in the store
     * @param port the operations in the rest of the process
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
        this.shardContext = new ShardContext(context, shard, ownership, timings, port);
        this.keyManager = new IdempotencyKeyManager(shardContext, policy);
        this.jobManager = new JobManager(shardContext);
        String prefix = keyPrefix + shard + "/";
        shardContext.setJournal(new Journal<>(
                context, prefix, context.self().value(), epoch, settings, CODEC, ShardRecord.class, this));
    }

    /** Replays the journal as soon as this process may act for the shard. */
    public void start() {
        if (shardContext.closed()) {
            return;
        }
        if (!shardContext.active()) {
            shardContext.nodeContext().schedule(START_RETRY_DELAY, this::start);
            return;
        }
        Instant startedAt = shardContext.now();
        shardContext.journal().recover(() -> completeRecovery(startedAt));
    }

    /** Closes this owner and its journal after it has lost the shard. */
    public void close() {
        shardContext.close();
    }

    /**
     * Runs the request of an idempotency key at most once.
     *
     * @param key the key
     * @param rule the rule for its kind of work
     * @param payload the request
     * @param deadline when the caller stops waiting
     * @param reply receives the outcome, unless this owner loses the shard first
     */
    public void execute(IdempotencyKey key, KindRule rule, Payload payload, Instant deadline, Consumer<Outcome> reply) {
        Optional<Reason> refusal = refusalReason();
        if (refusal.isPresent()) {
            reply.accept(
                    Outcome.notRun(refusal.get(), STEP, shardContext.shard().value()));
            return;
        }
        keyManager.execute(key, rule, payload, deadline, reply);
    }

    /**
     * Executes a job command.
     *
     * @param command the command
     * @param reply receives the answer, unless this owner loses the shard first
     */
    public void executeJobCommand(JobCommand command, Consumer<JobAnswer> reply) {
        Optional<Reason> refusal = refusalReason();
        if (refusal.isPresent()) {
            Failure failure = new Failure(
                    STEP, shardContext.shard().value(), refusal.get().text());
            reply.accept(new JobAnswer.Refused(refusal.get(), failure));
            return;
        }
        jobManager.execute(command, reply);
    }

    /**
     * Applies the statuses of tasks that a rack's owner has sent.
     *
     * @param rack the rack that runs the tasks
     * @param statuses the statuses of the tasks
     */
    public void applyTaskStatuses(PartitionId rack, List<TaskStatus> statuses) {
        if (shardContext.journal().ready() && shardContext.active()) {
            jobManager.applyStatuses(rack, statuses);
        }
    }

    /** Expires keys, plans and queries attempts, and advances the hand-over; called at short intervals. */
    public void poll() {
        if (!shardContext.journal().ready() || shardContext.closed()) {
            return;
        }
        keyManager.poll();
        jobManager.poll();
        advanceHandOver();
    }

    /**
     * Begins handing the shard over: refuses new work and waits until all records are durable.
     *
     * @param done runs once all records are durable
     */
    public void handOver(Runnable done) {
        handOverDone = done;
        shardContext.beginHandOver();
    }

    /**
     * Returns the status of the shard for operators.
     *
     * @return the status
     */
    public ShardStatus status() {
        JournalStatistics statistics = shardContext.journal().statistics();
        return new ShardStatus(
                shardContext.shard(),
                shardContext.journal().ready(),
                shardContext.journal().healthy(),
                keyManager.keyCount(),
                jobManager.jobCount(),
                jobManager.openJobCount(),
                statistics.writes(),
                statistics.records());
    }

    @Override
    public void replay(ShardRecord record) {
        keyManager.replay(record);
        jobManager.replay(record);
    }

    @Override
    public List<ShardRecord> snapshot() {
        List<ShardRecord> records = new ArrayList<>(keyManager.snapshot());
        records.addAll(jobManager.snapshot());
        return records;
    }

    @Override
    public void onEpochStart() {
        keyManager.startEpoch();
    }

    @Override
    public void onFenced() {
        shardContext.close();
    }

    private void completeRecovery(Instant startedAt) {
        keyManager.finishInterruptedRequests();
        jobManager.enqueueRecoveredJobs();
        long millis = shardContext.now().toEpochMilli() - startedAt.toEpochMilli();
        String detail = "keys=" + keyManager.keyCount() + " jobs=" + jobManager.jobCount() + " millis=" + millis;
        shardContext
                .nodeContext()
                .audit(AuditType.PARTITION_RECOVERED, shardContext.shard().value(), detail);
    }

    private Optional<Reason> refusalReason() {
        if (shardContext.closed()) {
            return Optional.of(Reason.NOT_OWNER);
        }
        if (!shardContext.journal().ready()) {
            return Optional.of(Reason.RECOVERING);
        }
        if (shardContext.handingOver()) {
            return Optional.of(Reason.HANDING_OVER);
        }
        return shardContext.active() ? Optional.empty() : Optional.of(Reason.LEASE_LAPSED);
    }

    private void advanceHandOver() {
        if (!shardContext.handingOver()
                || !keyManager.idle()
                || !shardContext.journal().allDurable()) {
            return;
        }
        if (!handOverRecorded) {
            handOverRecorded = true;
            shardContext.append(new ShardRecord.AllRecorded(), () -> {});
            return;
        }
        handOverDone.run();
    }
}
