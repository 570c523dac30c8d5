package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.scheduler.cell.FakeStore;
import org.junit.jupiter.api.Test;

/**
 * Plays a claim that the store carries out late against a store whose leases expire and which leaves the watch of an
 * owner unanswered. A process whose renewals succeed after its key has ended would act beside the owner that was elected
 * since.
 */
final class ElectionLateClaimTest {

    private static final OwnerRecord SELF = new OwnerRecord(new ProcessId("h1.1"), "h1:1", 1);

    private static final Duration LONGEST_CAMPAIGN_DELAY = Duration.ofSeconds(2);

    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private static final Duration STEP = Duration.ofMillis(100);

    private static final int STEPS = 60;

    private final ScriptedStore calls = new ScriptedStore();

    private final FakeStore store = new FakeStore();

    private final Election election = new Election(calls, SELF, new IgnoringListener());

    @Test
    void ownerWhoseRenewalsSucceedHoldsTheKey() {
        store.setLeasesExpire(true);
        store.advance(calls.now());
        election.start();
        execute(KeyValueRequest.ListPrefix.class);
        advance(LONGEST_CAMPAIGN_DELAY);
        execute(KeyValueRequest.GrantLease.class);
        KeyValueRequest lateClaim = lose(KeyValueRequest.Transaction.class);
        execute(KeyValueRequest.Get.class);
        lose(KeyValueRequest.RevokeLease.class);
        advance(RETRY_DELAY);
        execute(KeyValueRequest.GrantLease.class);
        lose(KeyValueRequest.Transaction.class);
        assertThat(store.apply(lateClaim)).isInstanceOf(KeyValueResult.Written.class);
        execute(KeyValueRequest.Get.class);

        int stepsAsOwner = 0;
        for (int step = 0; step < STEPS; step++) {
            executeAll(KeyValueRequest.RevokeLease.class);
            executeAll(KeyValueRequest.RenewLease.class);
            if (election.owning()) {
                stepsAsOwner++;
                assertThat(store.value(CellKeys.OWNER))
                        .as("the owner's key in step %d", step)
                        .isNotNull();
            }
            advance(STEP);
            if (!election.owning()) {
                execute(KeyValueRequest.Watch.class);
            }
            executeAll(KeyValueRequest.GrantLease.class);
            executeAll(KeyValueRequest.Transaction.class);
        }
        assertThat(stepsAsOwner).as("steps as the owner").isPositive();
    }

    private void advance(Duration time) {
        calls.advance(time);
        store.advance(calls.now());
    }

    private void execute(Class<? extends KeyValueRequest> type) {
        calls.answer(type, store.apply(calls.pending(type).get(0)));
    }

    private void executeAll(Class<? extends KeyValueRequest> type) {
        while (!calls.pending(type).isEmpty()) {
            execute(type);
        }
    }

    private KeyValueRequest lose(Class<? extends KeyValueRequest> type) {
        List<? extends KeyValueRequest> pending = calls.pending(type);
        calls.fail(type);
        return pending.get(0);
    }

    private static final class IgnoringListener implements ElectionListener {

        @Override
        public void elected(long version) {}

        @Override
        public void formerOwnerIdentified(FormerOwner owner) {}

        @Override
        public void deposed(String cause) {}

        @Override
        public void ownerChanged() {}
    }
}
