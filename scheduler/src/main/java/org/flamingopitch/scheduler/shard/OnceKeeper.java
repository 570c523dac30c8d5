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

/** Runs the work of each idempotency key at most once. */
final class OnceKeeper {

    private static final String STEP = "shard.once";

    private static final Duration RETENTION = Duration.ofHours(24);

    private final ShardScope scope;

    private final IdempotencyPolicy policy;

    private final IdempotencyTable<Outcome> table = new IdempotencyTable<>(RETENTION);

    private final Set<PendingIntent> waiting = new LinkedHashSet<>();

    private boolean formerOwnerRecordedAll;

    private int running;

    OnceKeeper(ShardScope scope, IdempotencyPolicy policy) {
        this.scope = scope;
        this.policy = policy;
    }

    int keys() {
        return table.entries().size();
    }

    boolean idle() {
        return running == 0 && waiting.isEmpty();
    }

    void execute(IdempotencyKey key, KindRule rule, Payload payload, Instant deadline, Consumer<Outcome> reply) {
        Optional<IdempotencyTable.IdempotencyEntry<Outcome>> known = table.find(key);
        if (known.isPresent()) {
            known.get().whenFinished(reply);
            return;
        }
        IdempotencyDecision decision = policy.decide(new IdempotencyContext(
                key.issuedAt(),
                scope.gainedAt(),
                scope.timings().clockSkew(),
                formerOwnerRecordedAll,
                scope.journal().healthy()));
        PendingIntent intent = new PendingIntent(key, rule, payload, deadline);
        switch (decision) {
            case RUN_WHEN_DURABLE -> begin(intent, reply, false);
            case RUN_UNRECORDED -> begin(intent, reply, true);
            case ANSWER_NOT_RUN -> reply.accept(notRun(Reason.STORE_AWAY));
            default ->
                reply.accept(
                        Outcome.unknown(STEP, scope.shard().value(), "a former owner of the shard may have run it"));
        }
    }

    /** Runs waiting work unrecorded where the policy allows that, once the journal has become slow. */
    void poll() {
        table.expire(scope.now());
        if (scope.journal().healthy()) {
            return;
        }
        for (PendingIntent intent : List.copyOf(waiting)) {
            IdempotencyDecision decision = policy.decide(new IdempotencyContext(
                    intent.key().issuedAt(), scope.gainedAt(), scope.timings().clockSkew(), false, false));
            if (decision == IdempotencyDecision.RUN_UNRECORDED) {
                dispatch(intent);
            }
        }
    }

    void replay(ShardRecord record) {
        if (record instanceof ShardRecord.AllRecorded) {
            formerOwnerRecordedAll = true;
        } else if (record instanceof ShardRecord.KeySeen seen) {
            replaySeen(seen);
        } else if (record instanceof ShardRecord.KeyFinished finished) {
            table.find(finished.key()).ifPresent(entry -> entry.finish(finished.outcome()));
        } else if (record instanceof ShardRecord.KeyReleased released) {
            table.remove(released.key());
        }
    }

    private void replaySeen(ShardRecord.KeySeen seen) {
        formerOwnerRecordedAll = false;
        if (table.find(seen.key()).isEmpty()) {
            table.add(seen.key(), seen.at());
        }
    }

    void ownerChanged() {
        formerOwnerRecordedAll = false;
    }

    void recovered() {
        for (IdempotencyTable.IdempotencyEntry<Outcome> entry : table.entries()) {
            if (entry.outcome().isEmpty()) {
                entry.finish(Outcome.unknown(
                        "shard.recover",
                        scope.shard().value(),
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

    private void begin(PendingIntent intent, Consumer<Outcome> reply, boolean unrecorded) {
        table.add(intent.key(), scope.now()).whenFinished(reply);
        waiting.add(intent);
        scope.append(new ShardRecord.KeySeen(intent.key(), scope.now()), () -> dispatch(intent));
        if (unrecorded) {
            dispatch(intent);
        }
    }

    private void dispatch(PendingIntent intent) {
        if (!waiting.remove(intent)) {
            return;
        }
        if (!scope.active() || !scope.now().isBefore(intent.deadline())) {
            finish(intent.key(), notRun(Reason.LEASE_LAPSED));
            return;
        }
        running++;
        scope.port().execute(intent.rule(), intent.payload(), intent.deadline(), outcome -> {
            running--;
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
            scope.append(new ShardRecord.KeyReleased(key), () -> {});
        } else {
            scope.append(new ShardRecord.KeyFinished(key, outcome), () -> {});
        }
        entry.get().finish(outcome);
    }

    private Outcome notRun(Reason reason) {
        return Outcome.notRun(reason, STEP, scope.shard().value());
    }

    private record PendingIntent(IdempotencyKey key, KindRule rule, Payload payload, Instant deadline) {}
}
