package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.junit.jupiter.api.Test;

/** A bound that is too early would start a task twice; one that starts anew at each takeover would leave jobs idle. */
final class FormerLeasesTest {

    private static final Instant ELECTED = OwnerFixtures.NOW;

    private static final Instant READ = ELECTED.plusMillis(10);

    private static final Duration MAX_LEASE = Duration.ofSeconds(6);

    /** From an order to the end of the lease that it extends, on a worker whose clock is 2 % slow, and a margin. */
    private static final Duration LEASE_TIME =
            Duration.ofNanos(6_000_000_000L * 100 / 98).plusMillis(300);

    private static final Instant WORST_CASE = ELECTED.plusSeconds(4).plus(LEASE_TIME);

    private final Map<ProcessId, Consumer<Instant>> monitored = new HashMap<>();

    private final List<Instant> reported = new ArrayList<>();

    private final FormerLeases leases = new FormerLeases(
            ELECTED, MAX_LEASE, (owner, onStopped) -> monitored.put(owner.process(), onStopped), reported::add);

    private static OwnerRecord owner(String name) {
        return new OwnerRecord(new ProcessId(name + ".1"), name, 0);
    }

    private static KeyValueEntry entry(String key, String value) {
        return new KeyValueEntry(key, value, 5, null);
    }

    private static KeyValueEntry ledger(Duration formerLeaseTime) {
        CommitMarker marker = new CommitMarker(17, 3, owner("last"), formerLeaseTime);
        return entry(CellKeys.LEDGER, marker.encode());
    }

    private static Optional<KeyValueEntry> formerOwners(
            String transaction, Duration other, FormerOwnersRecord.Entry... owners) {
        FormerOwnersRecord former = new FormerOwnersRecord(transaction, other.toMillis(), List.of(owners));
        return Optional.of(entry(CellKeys.FORMER_OWNERS, former.encode()));
    }

    private static FormerOwnersRecord.Entry lasting(String name, Duration time) {
        return new FormerOwnersRecord.Entry(owner(name), time.toMillis());
    }

    private static Instant readPlus(Duration time) {
        return READ.plus(time.multipliedBy(100).dividedBy(98));
    }

    private void stop(String name, Instant at) {
        monitored.get(owner(name).process()).accept(at);
    }

    @Test
    void ownerBeforeTheLastOneIsWaitedForUntilItIsKnownToHaveStopped() {
        Duration former = Duration.ofSeconds(9);
        leases.applyLedger(ledger(former), formerOwners("17.3", Duration.ZERO, lasting("first", former)), READ);
        assertThat(leases.expiry()).isEqualTo(WORST_CASE);
        stop("last", ELECTED);
        assertThat(leases.expiry()).isEqualTo(readPlus(former));
        stop("first", ELECTED.plusMillis(200));
        assertThat(leases.expiry()).isEqualTo(ELECTED.plusMillis(200).plus(LEASE_TIME));
        assertThat(reported)
                .containsExactly(readPlus(former), ELECTED.plusMillis(200).plus(LEASE_TIME));
    }

    /** A stop that is learned late must not extend the time that an owner is known to leave. */
    @Test
    void stopThatIsLearnedLateExtendsNothing() {
        Duration former = Duration.ofSeconds(2);
        leases.applyLedger(ledger(former), formerOwners("17.3", Duration.ZERO, lasting("first", former)), READ);
        stop("last", ELECTED.minusSeconds(5));
        stop("first", ELECTED.plusSeconds(3));
        assertThat(leases.expiry()).isEqualTo(readPlus(former));
    }

    @Test
    void ownersThatAreNotNamedAreWaitedFor() {
        Duration other = Duration.ofSeconds(8);
        leases.applyLedger(ledger(other), formerOwners("17.3", other, lasting("first", Duration.ofSeconds(1))), READ);
        stop("last", ELECTED);
        stop("first", ELECTED);
        assertThat(leases.expiry()).isEqualTo(readPlus(other));
    }

    /** An owner of an earlier version commits without the record, so that it tells nothing of the owners before that one. */
    @Test
    void recordOfAnotherTransactionIsIgnored() {
        Duration former = Duration.ofSeconds(9);
        leases.applyLedger(
                ledger(former), formerOwners("16.9", Duration.ZERO, lasting("first", Duration.ofSeconds(1))), READ);
        assertThat(monitored).containsOnlyKeys(owner("last").process());
        stop("last", ELECTED);
        assertThat(leases.expiry()).isEqualTo(readPlus(former));
    }

    @Test
    void recordThatCannotBeReadIsIgnored() {
        Duration former = Duration.ofSeconds(9);
        leases.applyLedger(ledger(former), Optional.of(entry(CellKeys.FORMER_OWNERS, "{\"owners\":[]}")), READ);
        stop("last", ELECTED);
        assertThat(leases.expiry()).isEqualTo(readPlus(former));
    }

    @Test
    void ledgerEntryThatNamesNoOwnerLeavesTheWorstCase() {
        leases.applyLedger(
                entry(CellKeys.LEDGER, "17.3"),
                formerOwners("17.3", Duration.ZERO, lasting("first", Duration.ofSeconds(1))),
                READ);
        assertThat(monitored).isEmpty();
        assertThat(leases.expiry()).isEqualTo(WORST_CASE);
    }

    /** A process that owned the cell twice may be the last owner and one of those before it. */
    @Test
    void processThatIsNamedTwiceIsWaitedForOnce() {
        Duration former = Duration.ofSeconds(1);
        leases.applyLedger(ledger(former), formerOwners("17.3", Duration.ZERO, lasting("last", former)), READ);
        assertThat(leases.expiry()).isEqualTo(WORST_CASE);
        stop("last", ELECTED.plusMillis(100));
        assertThat(leases.expiry()).isEqualTo(ELECTED.plusMillis(100).plus(LEASE_TIME));
    }

    /** The times count down over any number of takeovers, although each owner names itself as a further one. */
    @Test
    void recordForASuccessorNamesAllOwnersWithTheTimeThatIsLeft() {
        leases.applyLedger(
                ledger(Duration.ofSeconds(5)),
                formerOwners("17.3", Duration.ofSeconds(2), lasting("first", Duration.ofSeconds(5))),
                READ);
        stop("last", ELECTED);
        Instant now = ELECTED.plusSeconds(1);
        FormerOwnersRecord former = leases.record("18.1", now).orElseThrow();
        assertThat(former.transaction()).isEqualTo("18.1");
        assertThat(former.otherLeaseMillis()).isEqualTo(millisUntil(readPlus(Duration.ofSeconds(2)), now));
        assertThat(former.owners())
                .containsExactlyInAnyOrder(
                        new FormerOwnersRecord.Entry(owner("last"), millisUntil(ELECTED.plus(LEASE_TIME), now)),
                        new FormerOwnersRecord.Entry(
                                owner("first"), millisUntil(readPlus(Duration.ofSeconds(5)), now)));
        assertThat(leases.record("18.2", ELECTED.plusSeconds(7))).isEmpty();
    }

    /** The record is small, and the leases of owners that it has no space for still count. */
    @Test
    void ownersBeyondTheLimitCountAsOthers() {
        FormerOwnersRecord.Entry[] owners = new FormerOwnersRecord.Entry[FormerOwnersRecord.MAX_OWNERS + 2];
        for (int i = 0; i < owners.length; i++) {
            owners[i] = lasting("h" + i, Duration.ofMillis(3_000 + 100 * i));
        }
        leases.applyLedger(ledger(Duration.ofSeconds(5)), formerOwners("17.3", Duration.ZERO, owners), READ);
        FormerOwnersRecord former =
                leases.record("18.1", ELECTED.plusSeconds(1)).orElseThrow();
        assertThat(former.owners()).hasSize(FormerOwnersRecord.MAX_OWNERS);
        assertThat(former.owners()).extracting(each -> each.owner().address()).doesNotContain("h0", "h1", "h2");
        assertThat(former.otherLeaseMillis())
                .isEqualTo(millisUntil(readPlus(Duration.ofMillis(3_200)), ELECTED.plusSeconds(1)));
    }

    private static long millisUntil(Instant end, Instant now) {
        return Duration.between(now, end).plusMillis(1).toMillis();
    }
}
