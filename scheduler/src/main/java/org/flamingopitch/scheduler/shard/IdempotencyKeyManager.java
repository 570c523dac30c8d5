package org.flamingopitch.scheduler.shard;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.flamingopitch.coordination.once.IdempotencyContext;
import org.flamingopitch.coordination.once.IdempotencyDecision;
import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.coordination.once.IdempotencyPolicy;
import org.flamingopitch.coordination.once.IdempotencyTable;
import org.flamingopitch.scheduler.model.KindRule;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.Reason;

/** Runs the request of each idempotency key at most once and answers repeated requests with the first outcome. */
final class IdempotencyKeyManager {

    private static final String STEP = "shard.once";

    private static final Duration KEY_RETENTION = Duration.ofHours(24);

    private final ShardContext shardContext;

    private final IdempotencyPolicy policy;

    private final IdempotencyTable<Outcome> table = new IdempotencyTable<>(KEY_RETENTION);

    /** Requests that are to run as soon as the record of their key is durable. */
    private final Set<PendingIntent> waitingIntents = new LinkedHashSet<>();

    /** Whether the former owner recorded the outcome of every request that it ran before it gave the shard up. */
    private boolean formerOwnerRecordedAll;

    private int requestsRunning;

    IdempotencyKeyManager(ShardContext shardContext, IdempotencyPolicy policy) {
        this.shardContext = shardContext;
        this.policy = policy;
    }

    int keyCount() {
        return table.entries().size();
    }

    boolean idle() {
        return requestsRunning == 0 && waitingIntents.isEmpty();
    }

    void execute(IdempotencyKey key, KindRule rule, Payload payload, Instant deadline, Consumer<Outcome> reply) {
        Optional<IdempotencyTable.IdempotencyEntry<Outcome>> known = table.find(key);
        if (known.isPresent()) {
            known.get().whenFinished(reply);
            return;
        }
        IdempotencyDecision decision = policy.decide(new IdempotencyContext(
                key.issuedAt(),
                shardContext.gainedAt(),
                shardContext.timings().clockSkew(),
                formerOwnerRecordedAll,
                shardContext.journal().healthy()));
        PendingIntent intent = new PendingIntent(key, rule, payload, deadline);
        switch (decision) {
            case RUN_WHEN_DURABLE -> startRequest(intent, reply, false);
            case RUN_UNRECORDED -> startRequest(intent, reply, true);
            case ANSWER_NOT_RUN -> reply.accept(notRun(Reason.STORE_AWAY));
            default ->
                reply.accept(Outcome.unknown(
                        STEP, shardContext.shard().value(), "a former owner of the shard may have run it"));
        }
    }

    /**
     * Removes expired keys. While the journal is slow, also runs waiting requests before the record of their key is
     * durable, if the policy allows it.
     */
    void poll() {
        table.expire(shardContext.now());
        if (shardContext.journal().healthy()) {
            return;
        }
        for (PendingIntent intent : List.copyOf(waitingIntents)) {
            IdempotencyDecision decision = policy.decide(new IdempotencyContext(
                    intent.key().issuedAt(),
                    shardContext.gainedAt(),
                    shardContext.timings().clockSkew(),
                    false,
                    false));
            if (decision == IdempotencyDecision.RUN_UNRECORDED) {
                dispatch(intent);
            }
        }
    }

    void replay(ShardRecord record) {
        if (record instanceof ShardRecord.AllRecorded) {
            formerOwnerRecordedAll = true;
        } else if (record instanceof ShardRecord.KeySeen seen) {
            replayKeySeen(seen);
        } else if (record instanceof ShardRecord.KeyFinished finished) {
            table.find(finished.key()).ifPresent(entry -> entry.finish(finished.outcome()));
        } else if (record instanceof ShardRecord.KeyReleased released) {
            table.remove(released.key());
        }
    }

    private void replayKeySeen(ShardRecord.KeySeen seen) {
        formerOwnerRecordedAll = false;
        if (table.find(seen.key()).isEmpty()) {
            table.add(seen.key(), seen.at());
        }
    }

    /** Called during replay before the records of a later owner, to which {@code AllRecorded} does not apply. */
    void startEpoch() {
        formerOwnerRecordedAll = false;
    }

    /** Sets the outcome of keys that have none in the journal to unknown: a former owner may have run the request. */
    void finishInterruptedRequests() {
        for (IdempotencyTable.IdempotencyEntry<Outcome> entry : table.entries()) {
            if (entry.outcome().isEmpty()) {
                entry.finish(Outcome.unknown(
                        "shard.recover",
                        shardContext.shard().value(),
                        "the former owner ended before the outcome was on record"));
            }
        }
    }

    List<ShardRecord> snapshot() {
        List<ShardRecord> records = new ArrayList<>();
        table.entries().stream()
                .sorted((left, right) -> left.addedAt().compareTo(right.addedAt()))
                .forEach(entry -> addRecords(entry, records));
        return records;
    }

    private static void addRecords(IdempotencyTable.IdempotencyEntry<Outcome> entry, List<ShardRecord> records) {
        records.add(new ShardRecord.KeySeen(entry.key(), entry.addedAt()));
        entry.outcome().ifPresent(outcome -> records.add(new ShardRecord.KeyFinished(entry.key(), outcome)));
    }

    private void startRequest(PendingIntent intent, Consumer<Outcome> reply, boolean runUnrecorded) {
        table.add(intent.key(), shardContext.now()).whenFinished(reply);
        waitingIntents.add(intent);
        shardContext.append(new ShardRecord.KeySeen(intent.key(), shardContext.now()), () -> dispatch(intent));
        if (runUnrecorded) {
            dispatch(intent);
        }
    }

    private void dispatch(PendingIntent intent) {
        if (!waitingIntents.remove(intent)) {
            return;
        }
        if (!shardContext.active() || !shardContext.now().isBefore(intent.deadline())) {
            finish(intent.key(), notRun(Reason.LEASE_LAPSED));
            return;
        }
        requestsRunning++;
        shardContext.port().execute(intent.rule(), intent.payload(), intent.deadline(), outcome -> {
            requestsRunning--;
            finish(intent.key(), outcome);
        });
    }

    private void finish(IdempotencyKey key, Outcome outcome) {
        Optional<IdempotencyTable.IdempotencyEntry<Outcome>> entry = table.find(key);
        if (entry.isEmpty()) {
            return;
        }
        if (outcome instanceof Outcome.NotRun) {
            table.remove(key);
            shardContext.append(new ShardRecord.KeyReleased(key), () -> {});
        } else {
            shardContext.append(new ShardRecord.KeyFinished(key, outcome), () -> {});
        }
        entry.get().finish(outcome);
    }

    private Outcome notRun(Reason reason) {
        return Outcome.notRun(reason, STEP, shardContext.shard().value());
    }

    private record PendingIntent(IdempotencyKey key, KindRule rule, Payload payload, Instant deadline) {}
}
