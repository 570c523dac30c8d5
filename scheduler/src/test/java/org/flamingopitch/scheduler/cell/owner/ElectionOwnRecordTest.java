package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A process that finds its own record under the owner's key becomes the owner only if the record hangs on the lease that
 * it will renew. A record of an earlier attempt hangs on another lease and ends while the renewals go on.
 */
final class ElectionOwnRecordTest {

    private static final OwnerRecord SELF = new OwnerRecord(new ProcessId("h1.1"), "h1:1", 1);

    private static final OwnerRecord OTHER = new OwnerRecord(new ProcessId("h2.1"), "h2:1", 1);

    private static final Duration LONGEST_CAMPAIGN_DELAY = Duration.ofSeconds(2);

    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(500);

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
    void recordUnderTheLeaseOfTheClaimConfirmsAClaimWhoseAnswerWasLost() {
        grantLease("first");
        store.fail(KeyValueRequest.Transaction.class);
        found(entry(SELF, 12, "first"));
        expectOwnerAt(12);
        store.advance(RENEWAL_INTERVAL);
        assertThat(store.pending(KeyValueRequest.RenewLease.class))
                .containsExactly(new KeyValueRequest.RenewLease("first"));
        assertThat(store.pending(KeyValueRequest.RevokeLease.class)).isEmpty();
        assertThat(store.sent(KeyValueRequest.Transaction.class)).hasSize(1);
    }

    @Test
    void processClaimsTheKeyAgainAfterTheRecordOfItsEarlierClaimHasEnded() {
        failFirstClaim();
        grantLease("second");
        store.fail(KeyValueRequest.Transaction.class);
        found(entry(SELF, 12, "first"));
        expectNoOwnership();
        assertThat(store.pending(KeyValueRequest.RevokeLease.class))
                .containsExactly(new KeyValueRequest.RevokeLease("second"));
        store.advance(RETRY_DELAY);
        assertThat(store.pending(KeyValueRequest.GrantLease.class)).isEmpty();
        watch(deletion(13));
        store.advance(LONGEST_CAMPAIGN_DELAY);
        grantLease("third");
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.Written(14));
        expectOwnerAt(14);
    }

    @Test
    void recordOfAnEarlierClaimDoesNotConfirmAClaimWhoseLeaseHasEnded() {
        failFirstClaim();
        grantLease("second");
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.LeaseEnded());
        found(entry(SELF, 12, "first"));
        expectNoOwnership();
    }

    @Test
    void recordWithoutALeaseDoesNotConfirmAClaim() {
        grantLease("first");
        store.fail(KeyValueRequest.Transaction.class);
        found(new KeyValueEntry(CellKeys.OWNER, JsonCodec.compact().encode(SELF), 12));
        expectNoOwnership();
    }

    @Test
    void processThatRetiresBeforeItsRecordIsReadRevokesTheLease() {
        grantLease("first");
        store.fail(KeyValueRequest.Transaction.class);
        election.retire();
        found(entry(SELF, 12, "first"));
        expectNoOwnership();
        assertThat(store.pending(KeyValueRequest.RevokeLease.class))
                .containsExactly(new KeyValueRequest.RevokeLease("first"));
    }

    @Test
    void recordOfAnotherProcessEndsAClaimWhoseAnswerWasLost() {
        grantLease("first");
        store.fail(KeyValueRequest.Transaction.class);
        found(entry(OTHER, 13, "theirs"));
        expectNoOwnership();
        assertThat(election.owner()).contains(OTHER);
        assertThat(election.ownerVersion()).isEqualTo(13);
    }

    @Test
    void watchOfTheRecordThatThisProcessWroteDoesNotEndItsOwnership() {
        grantLease("first");
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.Written(12));
        watch(entry(SELF, 12, "first"));
        expectOwnerAt(12);
        assertThat(listener.depositions).isZero();
    }

    @Test
    void successorWaitsForTheRecordOfItsPresentRequest() {
        loseElectionTo(OTHER, 11);
        prepareHandover("first");
        election.cancelHandover();
        prepareHandover("second");
        watch(entry(SELF, 14, "first"));
        expectNoOwnership();
        watch(deletion(15));
        watch(entry(OTHER, 16, "theirs"));
        watch(entry(SELF, 17, "second"));
        expectOwnerAt(17);
        assertThat(store.pending(KeyValueRequest.RenewLease.class))
                .containsExactly(new KeyValueRequest.RenewLease("second"));
    }

    /** The watch shows the record of an ownership only after this process has given it up. */
    @Test
    void recordOfAnEndedOwnershipIsNotTakenForAHandover() {
        grantLease("first");
        prepareHandover("offered");
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.Written(12));
        election.stepDown("unexpected error");
        watch(entry(SELF, 12, "first"));
        expectNoOwnership();
    }

    /** Otherwise the new owner would give up the cell that it was handed a moment ago. */
    @Test
    void refusedClaimDoesNotRevokeTheLeaseOfAHandoverThatWasAcceptedMeanwhile() {
        acceptHandoverDuringAClaim();
        store.answer(
                KeyValueRequest.Transaction.class,
                new KeyValueResult.ConditionFailed(List.of(entry(SELF, 14, "offered"))));
        expectOwnerAt(14);
        assertThat(store.pending(KeyValueRequest.RevokeLease.class))
                .containsExactly(new KeyValueRequest.RevokeLease("claim"));
        expectRenewalsOnlyOf("offered");
    }

    @Test
    void claimWithoutAnAnswerDoesNotRevokeTheLeaseOfAHandoverThatWasAcceptedMeanwhile() {
        acceptHandoverDuringAClaim();
        store.fail(KeyValueRequest.Transaction.class);
        found(entry(SELF, 14, "offered"));
        expectOwnerAt(14);
        assertThat(store.pending(KeyValueRequest.RevokeLease.class))
                .containsExactly(new KeyValueRequest.RevokeLease("claim"));
        expectRenewalsOnlyOf("offered");
    }

    /** The owner would renew a lease that its record does not hang on. */
    @Test
    void leaseOfAnAbandonedClaimDoesNotReplaceTheLeaseOfAHandover() {
        loseElectionTo(OTHER, 11);
        prepareHandover("offered");
        watch(deletion(12));
        store.advance(LONGEST_CAMPAIGN_DELAY);
        watch(entry(OTHER, 13, "theirs"));
        watch(entry(SELF, 14, "offered"));
        grantLease("late");
        expectOwnerAt(14);
        assertThat(store.pending(KeyValueRequest.RevokeLease.class))
                .containsExactly(new KeyValueRequest.RevokeLease("late"));
        expectRenewalsOnlyOf("offered");
    }

    /** The cell's state in memory belongs to one election, and so does the version by which commits are fenced. */
    @Test
    void claimThatIsCarriedOutDuringAnOwnershipEndsThatOwnershipFirst() {
        acceptHandoverDuringAClaim();
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.Written(20));
        assertThat(listener.depositions).isEqualTo(1);
        assertThat(listener.electedVersions).containsExactly(14L, 20L);
        assertThat(election.owning()).isTrue();
        assertThat(election.ownerVersion()).isEqualTo(20);
        assertThat(store.pending(KeyValueRequest.RevokeLease.class))
                .containsExactly(new KeyValueRequest.RevokeLease("offered"));
        store.answer(KeyValueRequest.RenewLease.class, new KeyValueResult.LeaseEnded());
        assertThat(election.owning()).isTrue();
        expectRenewalsOnlyOf("claim");
    }

    /** An owner that counts the confirmations of its former ownership acts before it knows that its new lease holds. */
    @Test
    void confirmationOfAnEndedOwnershipDoesNotConfirmALaterOne() {
        grantLease("first");
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.Written(12));
        watch(entry(SELF, 12, "first"));
        assertThat(election.confirmedAt()).isAfter(Instant.MIN);
        watch(entry(OTHER, 13, "theirs"));
        assertThat(listener.depositions).isEqualTo(1);
        prepareHandover("offered");
        watch(entry(SELF, 14, "offered"));
        assertThat(election.owning()).isTrue();
        assertThat(election.confirmedAt()).isEqualTo(Instant.MIN);
        store.answer(KeyValueRequest.RenewLease.class, new KeyValueResult.Leased("offered"));
        assertThat(election.confirmedAt()).isAfter(Instant.MIN);
    }

    /** Each call to the store is charged. */
    @Test
    void electionWhoseAnswersArriveMakesTwoCalls() {
        grantLease("first");
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.Written(12));
        watch(entry(SELF, 12, "first"));
        expectOwnerAt(12);
        assertThat(store.sent(KeyValueRequest.GrantLease.class)).hasSize(1);
        assertThat(store.sent(KeyValueRequest.Transaction.class)).hasSize(1);
        assertThat(store.sent(KeyValueRequest.Get.class)).isEmpty();
        assertThat(store.sent(KeyValueRequest.RenewLease.class)).isEmpty();
        assertThat(store.sent(KeyValueRequest.RevokeLease.class)).isEmpty();
    }

    /** Each call to the store is charged. */
    @Test
    void successorMakesTwoCallsForAHandover() {
        watch(entry(OTHER, 11, "theirs"));
        grantLease("abandoned");
        int grants = store.sent(KeyValueRequest.GrantLease.class).size();
        int revocations = store.sent(KeyValueRequest.RevokeLease.class).size();
        prepareHandover("offered");
        watch(entry(SELF, 14, "offered"));
        expectOwnerAt(14);
        assertThat(store.sent(KeyValueRequest.GrantLease.class)).hasSize(grants + 1);
        assertThat(store.sent(KeyValueRequest.RenewLease.class)).hasSize(1);
        assertThat(store.sent(KeyValueRequest.RevokeLease.class)).hasSize(revocations);
        assertThat(store.sent(KeyValueRequest.Transaction.class)).isEmpty();
        assertThat(store.sent(KeyValueRequest.Get.class)).isEmpty();
    }

    private void expectOwnerAt(long version) {
        assertThat(election.owning()).isTrue();
        assertThat(election.ownerVersion()).isEqualTo(version);
        assertThat(listener.electedVersions).containsExactly(version);
    }

    private void expectRenewalsOnlyOf(String lease) {
        int renewalsBefore = store.pending(KeyValueRequest.RenewLease.class).size();
        store.advance(RENEWAL_INTERVAL);
        assertThat(store.pending(KeyValueRequest.RenewLease.class))
                .hasSize(renewalsBefore + 1)
                .containsOnly(new KeyValueRequest.RenewLease(lease));
    }

    private void acceptHandoverDuringAClaim() {
        grantLease("claim");
        watch(entry(OTHER, 11, "theirs"));
        prepareHandover("offered");
        watch(entry(SELF, 14, "offered"));
        expectOwnerAt(14);
    }

    private void expectNoOwnership() {
        assertThat(election.owning()).isFalse();
    }

    /** Leaves the first claim and the revocation of its lease unanswered, so that both may be carried out late. */
    private void failFirstClaim() {
        grantLease("first");
        store.fail(KeyValueRequest.Transaction.class);
        store.answer(KeyValueRequest.Get.class, new KeyValueResult.Missing());
        store.fail(KeyValueRequest.RevokeLease.class);
        store.advance(RETRY_DELAY);
    }

    private void loseElectionTo(OwnerRecord winner, long version) {
        grantLease("claim");
        store.answer(
                KeyValueRequest.Transaction.class,
                new KeyValueResult.ConditionFailed(List.of(entry(winner, version, "theirs"))));
        store.answer(KeyValueRequest.RevokeLease.class, new KeyValueResult.Leased("claim"));
    }

    private void prepareHandover(String lease) {
        election.prepareHandover(granted -> assertThat(granted).contains(lease));
        grantLease(lease);
    }

    private void grantLease(String lease) {
        store.answer(KeyValueRequest.GrantLease.class, new KeyValueResult.Leased(lease));
    }

    private void found(KeyValueEntry entry) {
        store.answer(KeyValueRequest.Get.class, new KeyValueResult.Found(entry));
    }

    private void watch(KeyValueEntry entry) {
        store.answer(KeyValueRequest.Watch.class, new KeyValueResult.Listed(List.of(entry), entry.version(), false));
    }

    private static KeyValueEntry entry(OwnerRecord owner, long version, String lease) {
        return new KeyValueEntry(CellKeys.OWNER, JsonCodec.compact().encode(owner), version, lease);
    }

    private static KeyValueEntry deletion(long version) {
        return new KeyValueEntry(CellKeys.OWNER, null, version);
    }

    private static final class RecordingListener implements ElectionListener {

        private final List<Long> electedVersions = new ArrayList<>();

        private int depositions;

        @Override
        public void elected(long version) {
            electedVersions.add(version);
        }

        @Override
        public void formerOwnerIdentified(FormerOwner owner) {}

        @Override
        public void deposed(String cause) {
            depositions++;
        }

        @Override
        public void ownerChanged() {}
    }
}
