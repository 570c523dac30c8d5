package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.kv.StoreWatcher;

/**
 * Elects the owner of the cell: the process whose record the store holds under the owner's key. Watches the key, writes
 * it under a lease when it is absent, and renews the lease while this process is the owner.
 *
 * <p>Whenever the cell is vacant and this process neither owns it nor has retired, a campaign is scheduled or under way:
 * each change that may have made this so ends with {@link #scheduleCampaign}, and so does each answer of the watch.
 */
public final class Election {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Bounds the time without an owner after a crash. Renewals are sent four times as often. */
    private static final Duration LEASE_DURATION = Duration.ofMillis(2_000);

    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    /** Bounds one watch call, so that a connection that no longer answers is detected. */
    private static final Duration MAX_WATCH_WAIT = Duration.ofMillis(2_500);

    private final LoopContext context;

    private final OwnerRecord self;

    private final ElectionListener listener;

    private final StoreWatcher watcher;

    private final CampaignDelay campaignDelay;

    private Optional<OwnerRecord> owner = Optional.empty();

    /** Version of the owner's key as last read, whichever process wrote it. */
    private long ownerVersion;

    /** Version of the owner's key that this process wrote, 0 while it is not the owner. */
    private long ownedVersion;

    /** Version of the record of an ended ownership that may still be under the owner's key; 0 if none may be. */
    private long endedVersion;

    /**
     * Renews the lease under which this process's record hangs. A claim under way has its own, as this process may accept a
     * handover before the claim is answered.
     */
    private final LeaseRenewal renewal;

    /** A lease under which the present owner may write this process's record; null if no handover is under way. */
    private String handoverLeaseId;

    private final FormerOwnerTracker formerOwnerTracker;

    private Instant confirmedAt = Instant.MIN;

    /** Calls sent before this time confirm nothing, as this process was suspended since. */
    private Instant suspendedUntil = Instant.MIN;

    /** Whether an entry is being applied that was read and not shown by the watch. */
    private boolean readAhead;

    private Duration roundTrip = Duration.ofMillis(50);

    /** Whether a claim is under way, from the request of its lease until its outcome is known. */
    private boolean campaignRunning;

    private boolean campaignScheduled;

    private boolean retired;

    private int failedCampaigns;

    /**
     * Creates the election of one process.
     *
     * @param context the event loop
     * @param self the record that this process writes when it is elected
     * @param listener is notified of changes of the ownership
     */
    public Election(LoopContext context, OwnerRecord self, ElectionListener listener) {
        this.context = context;
        this.self = self;
        this.listener = listener;
        this.campaignDelay = new CampaignDelay(self);
        this.formerOwnerTracker = new FormerOwnerTracker(self);
        this.renewal = new LeaseRenewal(
                context, this::recordConfirmation, () -> stepDown("the lease of the owner's key has ended"));
        this.watcher = new StoreWatcher(context, CellKeys.OWNER_PREFIX, MAX_WATCH_WAIT);
    }

    /** Starts to watch the owner's key and to campaign when it is absent. */
    public void start() {
        watcher.addListener(this::applyOwnerEntry);
        watcher.addAnswerListener(() -> scheduleCampaign(campaignDelay()));
        watcher.start();
        scheduleCampaign(campaignDelay());
    }

    /** Gives up the ownership, revokes its lease and does not campaign again. */
    public void retire() {
        retired = true;
        stepDown("the process gave up the ownership");
    }

    /**
     * Returns the owner as last read from the store.
     *
     * @return the owner, if there is one
     */
    public Optional<OwnerRecord> owner() {
        return owner;
    }

    /**
     * Returns the version of the owner's key at which {@link #owner()} was read.
     *
     * @return the version
     */
    public long ownerVersion() {
        return ownerVersion;
    }

    /**
     * Returns whether this process is the owner according to its last answer from the store. Another process may have
     * been elected since; {@link #confirmedAt()} bounds how old the answer is.
     *
     * @return whether this process is the owner
     */
    public boolean owning() {
        return ownedVersion > 0;
    }

    /**
     * Returns when the store last confirmed the present ownership.
     *
     * @return when the call was sent that the store confirmed, {@link Instant#MIN} for none
     */
    public Instant confirmedAt() {
        return confirmedAt;
    }

    /**
     * Returns whether the store is unreachable.
     *
     * @return whether the last call that reads or watches the owner's key failed
     */
    public boolean storeUnreachable() {
        return watcher.lastCallFailed();
    }

    /**
     * Records that the store confirmed the ownership by another call than a renewal, such as a commit.
     *
     * @param sentAt when the confirmed call was sent
     */
    public void recordConfirmation(Instant sentAt) {
        if (sentAt.isAfter(confirmedAt) && !sentAt.isBefore(suspendedUntil)) {
            confirmedAt = sentAt;
        }
    }

    /**
     * Discards the last confirmation and renews the lease at once. Called after this process was suspended, because its
     * monotonic clock stood still while the lease may have ended.
     */
    public void requireConfirmation() {
        confirmedAt = Instant.MIN;
        suspendedUntil = context.now();
        if (owning()) {
            renewal.renew();
        }
    }

    /**
     * Ends the ownership because it was given up or another process owns the cell, and revokes the lease, so that a
     * successor need not wait until it expires. Has no effect if this process is not the owner.
     *
     * @param cause the reason, for the log
     */
    public void stepDown(String cause) {
        if (!owning()) {
            return;
        }
        LOGGER.atWarning().log("event=deposed version=%d cause=\"%s\"", ownedVersion, cause);
        long version = ownedVersion;
        if (ownerVersion == version) {
            owner = Optional.empty();
            endedVersion = version;
            context.schedule(RETRY_DELAY, () -> readEndingRecord(version));
        }
        ownedVersion = 0;
        confirmedAt = Instant.MIN;
        formerOwnerTracker.reset();
        renewal.stop().ifPresent(this::revoke);
        listener.deposed(cause);
        scheduleCampaign(campaignDelay());
    }

    /** Applies an entry that was read, before the watch has shown the changes up to it. */
    private void observe(KeyValueEntry entry) {
        readAhead = true;
        watcher.observe(entry);
        readAhead = false;
    }

    /** Returns whether the record of an ended ownership is the last one that was seen under the owner's key. */
    private boolean endingRecordPresent() {
        return owner.isEmpty() && endedVersion > 0 && endedVersion == ownerVersion;
    }

    /**
     * Reads the owner's key until the store answers that it no longer holds the record of an ended ownership. The watch need
     * not show the end of that record, as it may never have shown the record.
     */
    private void readEndingRecord(long version) {
        context.callStore(new KeyValueRequest.Get(CellKeys.OWNER), result -> {
            if (result instanceof KeyValueResult.Found found) {
                observe(found.entry());
            } else if (result instanceof KeyValueResult.Missing) {
                endedVersion = endedVersion == version ? 0 : endedVersion;
                campaign();
            }
            if (!result.answered() || endedVersion == version && endingRecordPresent()) {
                context.schedule(RETRY_DELAY, () -> readEndingRecord(version));
            }
        });
    }

    private void applyOwnerEntry(KeyValueEntry entry) {
        if (!entry.key().equals(CellKeys.OWNER)) {
            return;
        }
        if (entry.version() < ownerVersion) {
            recordSighting(entry);
            return;
        }
        ownerVersion = entry.version();
        if (entry.deleted()) {
            owner = Optional.empty();
            LOGGER.atInfo().log("event=owner_gone version=%d", entry.version());
            if (owning() && entry.version() > ownedVersion) {
                stepDown("the owner's key was removed");
            }
            listener.ownerChanged();
            scheduleCampaign(campaignDelay());
            return;
        }
        OwnerRecord record = JsonCodec.compact().decode(entry.value(), OwnerRecord.class);
        owner = Optional.of(record);
        LOGGER.atInfo().log("event=owner_seen owner=%s version=%d", record.process(), entry.version());
        if (owning() && entry.version() != ownedVersion) {
            stepDown("another process holds the owner's key");
        }
        recordSighting(entry);
        if (!owning() && isOwnRecordUnder(handoverLeaseId, entry)) {
            acceptHandover(entry.version());
        }
        listener.ownerChanged();
        if (record.replaceableBy(self)) {
            campaign();
        }
    }

    private void recordSighting(KeyValueEntry entry) {
        if (!entry.deleted()) {
            formerOwnerTracker.record(entry, readAhead, watcher.completeLists(), context.now());
            reportFormerOwner();
        }
    }

    private void reportFormerOwner() {
        if (owning()) {
            formerOwnerTracker.formerOwner(ownedVersion).ifPresent(listener::formerOwnerIdentified);
        }
    }

    private boolean vacant() {
        return owner.map(record -> record.replaceableBy(self)).orElse(!endingRecordPresent());
    }

    private Duration campaignDelay() {
        return campaignDelay.of(roundTrip, ownerVersion);
    }

    private boolean campaignRequired() {
        return !retired && !campaignRunning && !owning() && vacant();
    }

    /** Schedules a campaign if one is required and none is scheduled; the first one that was scheduled counts. */
    private void scheduleCampaign(Duration delay) {
        if (campaignScheduled || !campaignRequired()) {
            return;
        }
        campaignScheduled = true;
        context.schedule(delay, () -> {
            campaignScheduled = false;
            campaign();
        });
    }

    /** Claims the cell if that is required at this time. */
    private void campaign() {
        if (!campaignRequired()) {
            return;
        }
        if (!watcher.initialListReceived()) {
            scheduleCampaign(RETRY_DELAY);
            return;
        }
        campaignRunning = true;
        Instant sentAt = context.now();
        context.callStore(new KeyValueRequest.GrantLease(LEASE_DURATION), result -> claimWithLease(result, sentAt));
    }

    private void claimWithLease(KeyValueResult result, Instant sentAt) {
        if (!(result instanceof KeyValueResult.Leased leased)) {
            retryCampaign("no lease was granted: " + result);
            return;
        }
        roundTrip = Duration.between(sentAt, context.now());
        if (retired || !vacant()) {
            campaignRunning = false;
            abandonClaim(leased.leaseId(), retired ? "the process is stopping" : "another process was elected");
            return;
        }
        OwnershipClaim claim = new OwnershipClaim(leased.leaseId(), context.now());
        long replacedVersion = owner.isPresent() ? ownerVersion : KeyValueRequest.ABSENT;
        context.callStore(write(self, replacedVersion, claim.leaseId()), outcome -> applyClaimResult(outcome, claim));
    }

    private static KeyValueRequest write(OwnerRecord record, long replacedVersion, String lease) {
        return new KeyValueRequest.Transaction(
                List.of(new KeyValueRequest.Condition(CellKeys.OWNER, replacedVersion)),
                List.of(new KeyValueRequest.Write(
                        CellKeys.OWNER, JsonCodec.compact().encode(record), lease)),
                List.of());
    }

    private void applyClaimResult(KeyValueResult result, OwnershipClaim claim) {
        if (result instanceof KeyValueResult.Written written) {
            campaignRunning = false;
            becomeOwner(written.version(), claim);
            return;
        }
        if (result instanceof KeyValueResult.ConditionFailed conflict) {
            campaignRunning = false;
            revoke(claim.leaseId());
            conflict.actual().forEach(this::observe);
            scheduleCampaign(RETRY_DELAY);
            return;
        }
        context.callStore(new KeyValueRequest.Get(CellKeys.OWNER), read -> applyClaimRead(read, claim));
    }

    /**
     * Determines the outcome of a claim whose answer was lost, from what is now under the owner's key. A record of an
     * earlier claim, carried out late, ends with its lease, and the key is claimed again then.
     */
    private void applyClaimRead(KeyValueResult read, OwnershipClaim claim) {
        if (read instanceof KeyValueResult.Found found && isOwnRecordUnder(claim.leaseId(), found.entry())) {
            campaignRunning = false;
            becomeOwner(found.entry().version(), claim);
            return;
        }
        revoke(claim.leaseId());
        retryCampaign("the store did not confirm the claim");
        if (read instanceof KeyValueResult.Found found) {
            observe(found.entry());
        }
    }

    /**
     * Returns whether an entry is a record of this process that lasts as long as a lease. Renewals of the lease confirm
     * nothing about a record under another one, such as the lease of an earlier attempt that was carried out late.
     */
    private boolean isOwnRecordUnder(String lease, KeyValueEntry entry) {
        if (entry.leaseId() == null || !entry.leaseId().equals(lease)) {
            return false;
        }
        OwnerRecord record = JsonCodec.compact().decode(entry.value(), OwnerRecord.class);
        return record.process().equals(self.process());
    }

    private void revoke(String id) {
        context.callStore(
                new KeyValueRequest.RevokeLease(id),
                result -> LOGGER.atFine().log("event=lease_returned result=%s", result));
    }

    private void retryCampaign(String detail) {
        campaignRunning = false;
        failedCampaigns++;
        LOGGER.atInfo().log("event=campaign_failed attempt=%d detail=\"%s\"", failedCampaigns, detail);
        scheduleCampaign(RETRY_DELAY);
    }

    private void abandonClaim(String claimLeaseId, String detail) {
        LOGGER.atInfo().log("event=campaign_abandoned detail=\"%s\"", detail);
        revoke(claimLeaseId);
        scheduleCampaign(RETRY_DELAY);
    }

    private void becomeOwner(long version, OwnershipClaim claim) {
        if (retired || version < ownerVersion) {
            abandonClaim(claim.leaseId(), retired ? "the process is stopping" : "the key has changed since");
            return;
        }
        // A claim may be carried out late, after a handover was accepted and its lease has ended.
        stepDown("a later claim of this process was carried out");
        renewal.start(claim.leaseId());
        failedCampaigns = 0;
        ownedVersion = version;
        ownerVersion = Math.max(ownerVersion, version);
        owner = Optional.of(self);
        recordConfirmation(claim.sentAt());
        LOGGER.atInfo().log("event=elected version=%d", version);
        listener.elected(version);
        reportFormerOwner();
    }

    /**
     * Grants a lease under which the present owner can write this process's record to the owner's key.
     *
     * @param handler receives the lease, or nothing if the store does not answer
     */
    public void prepareHandover(Consumer<Optional<String>> handler) {
        context.callStore(new KeyValueRequest.GrantLease(LEASE_DURATION), result -> {
            handoverLeaseId = result instanceof KeyValueResult.Leased leased ? leased.leaseId() : null;
            handler.accept(Optional.ofNullable(handoverLeaseId));
        });
    }

    /** Revokes the lease of {@link #prepareHandover} after the owner has declined. */
    public void cancelHandover() {
        if (handoverLeaseId != null && !renewal.renews(handoverLeaseId)) {
            revoke(handoverLeaseId);
        }
        handoverLeaseId = null;
    }

    /**
     * Hands the cell over: ends the ownership of this process, then writes the record of the successor in place of its
     * own. If the write fails, the key is vacant when the lease of this process has been revoked or has expired.
     *
     * @param successor the next owner
     * @param successorLeaseId the lease under which its record is written
     */
    public void handOver(OwnerRecord successor, String successorLeaseId) {
        if (!owning()) {
            return;
        }
        long version = ownedVersion;
        String ownLeaseId = renewal.stop().orElseThrow();
        stepDown("handed over to " + successor.process());
        context.callStore(write(successor, version, successorLeaseId), result -> {
            LOGGER.atInfo().log("event=handed_over to=%s result=%s", successor.process(), result);
            revoke(ownLeaseId);
        });
    }

    /** Becomes the owner by the former owner's write; the renewal confirms that the lease has not ended since. */
    private void acceptHandover(long version) {
        OwnershipClaim claim = new OwnershipClaim(handoverLeaseId, Instant.MIN);
        handoverLeaseId = null;
        becomeOwner(version, claim);
        if (owning()) {
            renewal.renew();
        }
    }

    /** Asks the store at once to confirm the ownership, unless such a call is under way. */
    public void confirmSoon() {
        if (owning()) {
            renewal.renewSoon();
        }
    }
}
