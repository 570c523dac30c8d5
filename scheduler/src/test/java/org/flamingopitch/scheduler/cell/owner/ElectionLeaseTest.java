package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The owner's record may hang on the lease of an earlier attempt of the same process, which the process does not renew.
 * An owner that renews another lease would act after its key has ended and another process was elected.
 */
final class ElectionLeaseTest {

    private static final OwnerRecord SELF = new OwnerRecord(new ProcessId("h1.1"), "h1:1", 1);

    private static final OwnerRecord OTHER = new OwnerRecord(new ProcessId("h2.1"), "h2:1", 1);

    private static final Duration LONGEST_CAMPAIGN_DELAY = Duration.ofSeconds(2);

    private final ScriptedStore store = new ScriptedStore();

    private final Election election = new Election(store, SELF, new IgnoringListener());

    @BeforeEach
    void startWithVacantKey() {
        election.start();
        store.answer(KeyValueRequest.ListPrefix.class, new KeyValueResult.Listed(List.of(), 10, true));
        store.advance(LONGEST_CAMPAIGN_DELAY);
    }

    private void grantLease(String lease) {
        store.answer(KeyValueRequest.GrantLease.class, new KeyValueResult.Leased(lease));
    }

    private static KeyValueEntry entry(OwnerRecord owner, long version) {
        return new KeyValueEntry(CellKeys.OWNER, JsonCodec.compact().encode(owner), version);
    }

    private boolean writtenUnder(String lease) {
        return store.pending(KeyValueRequest.Transaction.class).stream()
                .flatMap(transaction -> transaction.writes().stream())
                .anyMatch(write -> lease.equals(write.leaseId()));
    }

    private void expectNoOwnershipByARecordUnderAnotherLeaseThan(String lease) {
        boolean ownsByRecordOfOtherLease = election.owning() && !writtenUnder(lease);
        assertThat(ownsByRecordOfOtherLease)
                .as("owns the cell by a record that does not hang on lease %s", lease)
                .isFalse();
    }

    /** The first claim is carried out late, after its lease was to be revoked. */
    @Test
    void recordOfAnEarlierClaimDoesNotConfirmALaterOne() {
        grantLease("first");
        store.fail(KeyValueRequest.Transaction.class);
        store.answer(KeyValueRequest.Get.class, new KeyValueResult.Missing());
        store.fail(KeyValueRequest.RevokeLease.class);
        store.advance(Duration.ofMillis(300));
        grantLease("second");
        store.fail(KeyValueRequest.Transaction.class);
        store.answer(KeyValueRequest.Get.class, new KeyValueResult.Found(entry(SELF, 12)));
        expectNoOwnershipByARecordUnderAnotherLeaseThan("second");
    }

    /** The owner carries out the first request late, after it has declined it and its lease was to be revoked. */
    @Test
    void recordOfAnEarlierHandoverDoesNotConfirmALaterOne() {
        grantLease("claim");
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.ConditionFailed(List.of(entry(OTHER, 11))));
        store.answer(KeyValueRequest.RevokeLease.class, new KeyValueResult.Missing());
        election.prepareHandover(lease -> assertThat(lease).contains("first"));
        grantLease("first");
        election.cancelHandover();
        store.fail(KeyValueRequest.RevokeLease.class);
        election.prepareHandover(lease -> assertThat(lease).contains("second"));
        grantLease("second");
        store.answer(KeyValueRequest.Watch.class, new KeyValueResult.Listed(List.of(entry(SELF, 14)), 14, false));
        expectNoOwnershipByARecordUnderAnotherLeaseThan("second");
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
