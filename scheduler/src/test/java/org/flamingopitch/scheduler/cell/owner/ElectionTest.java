package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the election of one process against single answers of the store. */
final class ElectionTest {

    private static final OwnerRecord SELF = new OwnerRecord(new ProcessId("h1.1"), "h1:1", 1);

    private static final OwnerRecord OTHER = new OwnerRecord(new ProcessId("h2.1"), "h2:1", 1);

    private static final OwnerRecord THIRD = new OwnerRecord(new ProcessId("h3.1"), "h3:1", 1);

    private static final Duration LONGEST_CAMPAIGN_DELAY = Duration.ofSeconds(2);

    private final ScriptedStore store = new ScriptedStore();

    private final RecordingListener listener = new RecordingListener();

    private final Election election = new Election(store, SELF, listener);

    @BeforeEach
    void startWithVacantKey() {
        election.start();
        store.answer(KeyValueRequest.ListPrefix.class, new KeyValueResult.Listed(List.of(), 10, true));
        store.advance(LONGEST_CAMPAIGN_DELAY);
    }

    @Test
    void campaignsAgainWhenTheWinnerVanishedBeforeTheWatchShowedIt() {
        grantLease();
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.ConditionFailed(List.of(entry(OTHER, 11))));
        assertThat(election.owner()).contains(OTHER);
        store.fail(KeyValueRequest.Watch.class);
        store.advance(Duration.ofSeconds(1));
        store.answer(KeyValueRequest.ListPrefix.class, new KeyValueResult.Listed(List.of(), 13, true));
        store.advance(LONGEST_CAMPAIGN_DELAY);
        assertThat(election.owner()).isEmpty();
        assertThat(store.pending(KeyValueRequest.GrantLease.class)).hasSize(1);
    }

    @Test
    void restartedProcessReplacesTheKeyOfItsPredecessorBeforeTheLeaseExpires() {
        OwnerRecord predecessor = new OwnerRecord(new ProcessId("h1.0"), SELF.address(), 1);
        grantLease();
        store.answer(
                KeyValueRequest.Transaction.class, new KeyValueResult.ConditionFailed(List.of(entry(predecessor, 11))));
        grantLease();
        assertThat(store.pending(KeyValueRequest.Transaction.class))
                .singleElement()
                .extracting(KeyValueRequest.Transaction::conditions)
                .isEqualTo(List.of(new KeyValueRequest.Condition(CellKeys.OWNER, 11)));
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.Written(13));
        assertThat(election.owning()).isTrue();
    }

    @Test
    void processDoesNotReplaceAnOwnerThatWasElectedWhileItsLeaseWasGranted() {
        KeyValueResult elected = new KeyValueResult.Listed(List.of(entry(OTHER, 11)), 11, false);
        store.answer(KeyValueRequest.Watch.class, elected);
        grantLease();
        assertThat(store.pending(KeyValueRequest.Transaction.class)).isEmpty();
        assertThat(store.pending(KeyValueRequest.RevokeLease.class)).hasSize(1);
    }

    @Test
    void processThatRetiresWhileItsClaimIsUnderWayNeverActsAsOwner() {
        grantLease();
        election.retire();
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.Written(12));
        assertThat(listener.electedVersions).isZero();
        assertThat(election.owning()).isFalse();
        assertThat(store.pending(KeyValueRequest.RevokeLease.class)).hasSize(1);
    }

    @Test
    void processThatRetiresWhileItsLeaseIsGrantedDoesNotClaimTheKey() {
        election.retire();
        grantLease();
        assertThat(store.pending(KeyValueRequest.Transaction.class)).isEmpty();
        assertThat(store.pending(KeyValueRequest.RevokeLease.class)).hasSize(1);
    }

    @Test
    void deposedOwnerRevokesItsLeaseSoThatASuccessorNeedNotWait() {
        grantLease();
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.Written(12));
        assertThat(election.owning()).isTrue();
        election.stepDown("a worker rejected an order");
        assertThat(store.pending(KeyValueRequest.RevokeLease.class))
                .containsExactly(new KeyValueRequest.RevokeLease("lease"));
    }

    @Test
    void handoverEndsTheOwnershipBeforeTheSuccessorsRecordIsWritten() {
        grantLease();
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.Written(12));
        election.handOver(OTHER, "other-lease");
        assertThat(election.owning()).isFalse();
        KeyValueRequest.Transaction write =
                store.pending(KeyValueRequest.Transaction.class).get(0);
        assertThat(write.conditions()).containsExactly(new KeyValueRequest.Condition(CellKeys.OWNER, 12));
        assertThat(write.writes())
                .singleElement()
                .extracting(KeyValueRequest.Write::leaseId)
                .isEqualTo("other-lease");
        store.fail(KeyValueRequest.Transaction.class);
        assertThat(election.owning()).isFalse();
        assertThat(store.pending(KeyValueRequest.RevokeLease.class))
                .containsExactly(new KeyValueRequest.RevokeLease("lease"));
    }

    @Test
    void successorActsOnlyAfterTheStoreHasConfirmedItsLease() {
        grantLease();
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.ConditionFailed(List.of(entry(OTHER, 11))));
        election.prepareHandover(lease -> assertThat(lease).contains("offered"));
        store.answer(KeyValueRequest.GrantLease.class, new KeyValueResult.Leased("offered"));
        watch(new KeyValueEntry(CellKeys.OWNER, JsonCodec.compact().encode(SELF), 14, "offered"));
        assertThat(election.owning()).isTrue();
        assertThat(election.confirmedAt()).isEqualTo(Instant.MIN);
        store.answer(KeyValueRequest.RenewLease.class, new KeyValueResult.Leased("offered"));
        assertThat(election.confirmedAt()).isAfter(Instant.MIN);
    }

    @Test
    void formerOwnerIsKnownIfTheWatchShowedAllChangesSinceItsElection() {
        showOtherOwnerAndItsEnd();
        grantLease();
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.Written(13));
        assertThat(listener.formerOwner).isNull();
        store.answer(KeyValueRequest.Watch.class, new KeyValueResult.Listed(List.of(entry(SELF, 13)), 13, false));
        assertThat(listener.formerOwner.owner()).isEqualTo(OTHER);
    }

    @Test
    void formerOwnerIsUnknownIfAnotherOwnerMayHaveBeenMissed() {
        showOtherOwnerAndItsEnd();
        grantLease();
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.Written(15));
        store.fail(KeyValueRequest.Watch.class);
        store.advance(Duration.ofSeconds(1));
        store.answer(KeyValueRequest.ListPrefix.class, new KeyValueResult.Listed(List.of(entry(SELF, 15)), 15, true));
        assertThat(election.owning()).isTrue();
        assertThat(listener.formerOwner).isNull();
    }

    @Test
    void formerOwnerIsUnknownIfOwnRecordWasReadBeforeTheWatchShowedAnIntermediateOwner() {
        grantLease();
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.Written(11));
        watch(entry(SELF, 11));
        election.stepDown("unexpected error");
        store.advance(Duration.ofMillis(300));
        store.fail(KeyValueRequest.Get.class);
        watch(deletion(12));
        watch(entry(OTHER, 14));
        watch(deletion(15));
        store.advance(LONGEST_CAMPAIGN_DELAY);
        grantLease();
        store.answer(KeyValueRequest.Get.class, new KeyValueResult.Found(entry(SELF, 20)));
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.Written(20));
        watch(entry(THIRD, 16));
        assertThat(election.owning()).isTrue();
        assertThat(listener.formerOwner).isNull();
    }

    @Test
    void renewalSentBeforeASuspensionDoesNotConfirmTheOwnershipAfterIt() {
        grantLease();
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.Written(12));
        store.advance(Duration.ofMillis(600));
        election.requireConfirmation();
        store.answer(KeyValueRequest.RenewLease.class, new KeyValueResult.Leased("lease"));
        assertThat(election.confirmedAt()).isEqualTo(Instant.MIN);
        store.answer(KeyValueRequest.RenewLease.class, new KeyValueResult.Leased("lease"));
        assertThat(election.confirmedAt()).isAfter(Instant.MIN);
    }

    @Test
    void lateAnswerToAClaimDoesNotHideTheNewerOwner() {
        grantLease();
        watch(entry(SELF, 12));
        watch(deletion(15));
        watch(entry(OTHER, 20));
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.Written(12));
        assertThat(election.owning()).isFalse();
        assertThat(election.owner()).contains(OTHER);
    }

    @Test
    void watchGoesOnAfterARecordThatCannotBeRead() {
        assertThatThrownBy(() -> watch(new KeyValueEntry(CellKeys.OWNER, "{unreadable", 11)))
                .isInstanceOf(RuntimeException.class);
        store.advance(Duration.ofSeconds(30));
        assertThat(store.pending(KeyValueRequest.Watch.class).size()
                        + store.pending(KeyValueRequest.ListPrefix.class).size())
                .isPositive();
    }

    private void watch(KeyValueEntry entry) {
        store.answer(KeyValueRequest.Watch.class, new KeyValueResult.Listed(List.of(entry), entry.version(), false));
    }

    private static KeyValueEntry deletion(long version) {
        return new KeyValueEntry(CellKeys.OWNER, null, version);
    }

    private void showOtherOwnerAndItsEnd() {
        watch(entry(OTHER, 11));
        watch(deletion(12));
    }

    private void grantLease() {
        store.answer(KeyValueRequest.GrantLease.class, new KeyValueResult.Leased("lease"));
    }

    private static KeyValueEntry entry(OwnerRecord owner, long version) {
        return new KeyValueEntry(CellKeys.OWNER, JsonCodec.compact().encode(owner), version);
    }

    private static final class RecordingListener implements ElectionListener {

        private int electedVersions;

        private FormerOwner formerOwner;

        @Override
        public void elected(long version) {
            electedVersions++;
        }

        @Override
        public void formerOwnerIdentified(FormerOwner owner) {
            formerOwner = owner;
        }

        @Override
        public void deposed(String cause) {}

        @Override
        public void ownerChanged() {}
    }
}
