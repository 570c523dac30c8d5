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
 * A host that is alone claims the cell again, whatever became of its last claim. If it waits for a change of the key that
 * it has been shown already, the cell has no owner for good.
 */
final class ElectionCampaignTest {

    private static final OwnerRecord SELF = new OwnerRecord(new ProcessId("h1.2"), "h1:1", 1);

    private static final OwnerRecord PREDECESSOR = new OwnerRecord(new ProcessId("h1.1"), "h1:1", 1);

    private static final OwnerRecord OTHER = new OwnerRecord(new ProcessId("h2.1"), "h2:1", 1);

    /** The longest time without an answer that is outstanding until the next claim. */
    private static final Duration LONGEST_CAMPAIGN_DELAY = Duration.ofSeconds(1);

    private final ScriptedStore store = new ScriptedStore();

    private final Election election = new Election(store, SELF, new IgnoringListener());

    @BeforeEach
    void start() {
        election.start();
    }

    /** The claim requires the version of a record whose lease ends before the claim is carried out. */
    @Test
    void hostClaimsAgainAfterTheRecordOfItsPredecessorEndedDuringTheClaim() {
        list(11, true, entry(PREDECESSOR, 10, "old"));
        grantLease("claim");
        list(12, false, deletion(12));
        store.advance(LONGEST_CAMPAIGN_DELAY);
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.ConditionFailed(List.of()));
        expectNextClaimToWin(KeyValueRequest.ABSENT);
    }

    /** As before, but the watch shows the deletion after the refusal. */
    @Test
    void hostClaimsAgainAfterTheRecordOfItsPredecessorEndedAndTheWatchShowsItLate() {
        list(11, true, entry(PREDECESSOR, 10, "old"));
        grantLease("claim");
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.ConditionFailed(List.of()));
        list(12, false, deletion(12));
        expectNextClaimToWin(KeyValueRequest.ABSENT);
    }

    /** The answer comes after the lease of the claim has ended and the watch has shown that. */
    @Test
    void hostClaimsAgainAfterItsClaimWasCarriedOutAndEnded() {
        list(11, true);
        store.advance(LONGEST_CAMPAIGN_DELAY);
        grantLease("claim");
        list(12, false, entry(SELF, 12, "claim"));
        list(13, false, deletion(13));
        store.advance(LONGEST_CAMPAIGN_DELAY);
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.Written(12));
        assertThat(election.owning()).isFalse();
        expectNextClaimToWin(KeyValueRequest.ABSENT);
    }

    /** The claim's answer is lost, and the read that looks for its record is answered after the record has ended. */
    @Test
    void hostClaimsAgainAfterTheReadOfItsClaimWasAnsweredLate() {
        list(11, true);
        store.advance(LONGEST_CAMPAIGN_DELAY);
        grantLease("claim");
        store.fail(KeyValueRequest.Transaction.class);
        list(12, false, entry(SELF, 12, "claim"));
        list(13, false, deletion(13));
        store.advance(LONGEST_CAMPAIGN_DELAY);
        store.answer(KeyValueRequest.Get.class, new KeyValueResult.Found(entry(SELF, 12, "claim")));
        assertThat(election.owning()).isFalse();
        expectNextClaimToWin(KeyValueRequest.ABSENT);
    }

    @Test
    void hostClaimsAgainAfterAClaimThatItAbandonedForAnOwnerThatEnded() {
        list(11, true);
        store.advance(LONGEST_CAMPAIGN_DELAY);
        list(12, false, entry(OTHER, 12, "theirs"));
        grantLease("claim");
        assertThat(store.pending(KeyValueRequest.Transaction.class)).isEmpty();
        list(13, false, deletion(13));
        expectNextClaimToWin(KeyValueRequest.ABSENT);
    }

    /** The deletion is shown while the lease is granted, and its timer runs out before the claim is sent. */
    @Test
    void hostClaimsAKeyThatWasTakenAndEndedWhileTheLeaseWasGranted() {
        list(11, true);
        store.advance(LONGEST_CAMPAIGN_DELAY);
        list(12, false, entry(OTHER, 12, "theirs"));
        list(13, false, deletion(13));
        store.advance(LONGEST_CAMPAIGN_DELAY);
        expectNextClaimToWin(KeyValueRequest.ABSENT);
    }

    /** A list shows that the other owner has gone before the refusal that names it arrives; no watch will show it again. */
    @Test
    void ownerNamedByALateRefusalIsNotTakenForThePresentOne() {
        list(11, true);
        store.advance(LONGEST_CAMPAIGN_DELAY);
        grantLease("claim");
        store.fail(KeyValueRequest.Watch.class);
        store.advance(LONGEST_CAMPAIGN_DELAY);
        list(20, true);
        store.answer(
                KeyValueRequest.Transaction.class,
                new KeyValueResult.ConditionFailed(List.of(entry(OTHER, 13, "theirs"))));
        assertThat(election.owner()).isEmpty();
        expectNextClaimToWin(KeyValueRequest.ABSENT);
    }

    /** The same for the read of the key after a step-down. */
    @Test
    void formerRecordThatIsReadLateDoesNotKeepTheHostFromClaiming() {
        becomeOwner();
        store.fail(KeyValueRequest.Watch.class);
        election.stepDown("unexpected error");
        store.advance(LONGEST_CAMPAIGN_DELAY);
        list(20, true);
        store.answer(KeyValueRequest.Get.class, new KeyValueResult.Found(entry(SELF, 12, "claim")));
        store.advance(LONGEST_CAMPAIGN_DELAY);
        if (!store.pending(KeyValueRequest.Get.class).isEmpty()) {
            store.answer(KeyValueRequest.Get.class, new KeyValueResult.Missing());
        }
        expectNextClaimToWin(KeyValueRequest.ABSENT);
    }

    /** A predecessor's claim is carried out late, while this process claims the key; its record need not be awaited. */
    @Test
    void hostReplacesARecordOfItsPredecessorThatAppearsDuringAClaim() {
        list(11, true);
        store.advance(LONGEST_CAMPAIGN_DELAY);
        grantLease("claim");
        list(12, false, entry(PREDECESSOR, 12, "old"));
        store.answer(
                KeyValueRequest.Transaction.class,
                new KeyValueResult.ConditionFailed(List.of(entry(PREDECESSOR, 12, "old"))));
        expectNextClaimToWin(12);
    }

    /** A handover is accepted during a claim, and its ownership ends before the claim is answered. */
    @Test
    void hostClaimsAgainIfItsOwnershipEndsDuringAClaimThatIsRefused() {
        list(11, true);
        store.advance(LONGEST_CAMPAIGN_DELAY);
        grantLease("claim");
        election.prepareHandover(lease -> assertThat(lease).contains("offered"));
        grantLease("offered");
        list(14, false, entry(SELF, 14, "offered"));
        assertThat(election.owning()).isTrue();
        list(15, false, deletion(15));
        assertThat(election.owning()).isFalse();
        store.advance(LONGEST_CAMPAIGN_DELAY);
        while (!store.pending(KeyValueRequest.Get.class).isEmpty()) {
            store.answer(KeyValueRequest.Get.class, new KeyValueResult.Missing());
        }
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.ConditionFailed(List.of()));
        expectNextClaimToWin(KeyValueRequest.ABSENT);
    }

    /** The former owner does not know whether its write took effect; the key of a successor that has ended is absent. */
    @Test
    void formerOwnerClaimsTheCellAfterAHandoverThatFailed() {
        becomeOwner();
        election.handOver(OTHER, "theirs");
        store.fail(KeyValueRequest.Transaction.class);
        list(12, false, entry(SELF, 12, "claim"));
        list(13, false, deletion(13));
        expectNextClaimToWin(KeyValueRequest.ABSENT);
    }

    /** Each call to the store is charged; a claim of a key that is present is refused. */
    @Test
    void formerOwnerDoesNotClaimTheKeyWhileItsRecordIsPresent() {
        becomeOwner();
        list(12, false, entry(SELF, 12, "claim"));
        int grants = store.sent(KeyValueRequest.GrantLease.class).size();
        election.stepDown("unexpected error");
        store.fail(KeyValueRequest.RevokeLease.class);
        for (int read = 0; read < 3; read++) {
            store.advance(LONGEST_CAMPAIGN_DELAY);
            if (!store.pending(KeyValueRequest.Get.class).isEmpty()) {
                store.answer(KeyValueRequest.Get.class, new KeyValueResult.Found(entry(SELF, 12, "claim")));
            }
        }
        assertThat(store.sent(KeyValueRequest.GrantLease.class)).hasSize(grants);
        list(13, false, deletion(13));
        expectNextClaimToWin(KeyValueRequest.ABSENT);
    }

    @Test
    void retiredProcessClaimsNothingMore() {
        list(11, true, entry(PREDECESSOR, 10, "old"));
        grantLease("claim");
        election.retire();
        list(12, false, deletion(12));
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.ConditionFailed(List.of()));
        store.advance(LONGEST_CAMPAIGN_DELAY.multipliedBy(3));
        assertThat(store.pending(KeyValueRequest.GrantLease.class)).isEmpty();
    }

    private void becomeOwner() {
        list(11, true);
        store.advance(LONGEST_CAMPAIGN_DELAY);
        grantLease("claim");
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.Written(12));
        assertThat(election.owning()).isTrue();
    }

    private void expectNextClaimToWin(long replacedVersion) {
        store.advance(LONGEST_CAMPAIGN_DELAY);
        grantLease("next");
        assertThat(store.pending(KeyValueRequest.Transaction.class))
                .extracting(KeyValueRequest.Transaction::conditions)
                .containsExactly(List.of(new KeyValueRequest.Condition(CellKeys.OWNER, replacedVersion)));
        store.answer(KeyValueRequest.Transaction.class, new KeyValueResult.Written(30));
        assertThat(election.owning()).isTrue();
        assertThat(election.ownerVersion()).isEqualTo(30);
    }

    private void grantLease(String lease) {
        store.answer(KeyValueRequest.GrantLease.class, new KeyValueResult.Leased(lease));
    }

    /** Answers the list or the watch of the owner's key that waits. */
    private void list(long revision, boolean complete, KeyValueEntry... entries) {
        store.answer(
                complete ? KeyValueRequest.ListPrefix.class : KeyValueRequest.Watch.class,
                new KeyValueResult.Listed(List.of(entries), revision, complete));
    }

    private static KeyValueEntry entry(OwnerRecord owner, long version, String lease) {
        return new KeyValueEntry(CellKeys.OWNER, JsonCodec.compact().encode(owner), version, lease);
    }

    private static KeyValueEntry deletion(long version) {
        return new KeyValueEntry(CellKeys.OWNER, null, version);
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
