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
 */
public final class Election {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Bounds the time without an owner after a crash. Renewals are sent four times as often. */
    private static final Duration LEASE_DURATION = Duration.ofMillis(2_000);

    private static final Duration LEASE_RENEWAL_INTERVAL = Duration.ofMillis(500);

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

    /**
     * The lease under which this process's record hangs, null while it is not the owner. A claim under way has its own,
     * as this process may accept a handover before the claim is answered.
     */
    private String leaseId;

    /** A lease under which the present owner may write this process's record; null if no handover is under way. */
    private String handoverLeaseId;

    private final FormerOwnerTracker formerOwnerTracker;

    private Instant confirmedAt = Instant.MIN;

    private int renewalsInFlight;

    /** Calls sent before this time confirm nothing, as this process was suspended since. */
    private Instant suspendedUntil = Instant.MIN;

    /** Whether an entry is being applied that was read and not shown by the watch. */
    private boolean readAhead;

    private Duration roundTrip = Duration.ofMillis(50);

    private boolean campaignRunning;

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
        this.watcher = new StoreWatcher(context, CellKeys.OWNER_PREFIX, MAX_WATCH_WAIT);
    }

    /** Starts to watch the owner's key and to campaign when it is absent. */
    public void start() {
        watcher.addListener(this::applyOwnerEntry);
        watcher.start();
        context.schedule(campaignDelay(), this::campaignIfVacant);
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
            renew();
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
        if (ownerVersion == ownedVersion) {
            owner = Optional.empty();
        }
        ownedVersion = 0;
        confirmedAt = Instant.MIN;
        formerOwnerTracker.reset();
        revokeLease();
        listener.deposed(cause);
        if (owner.isEmpty()) {
            context.schedule(RETRY_DELAY, this::readOwner);
        }
    }

    /** Applies an entry that was read, before the watch has shown the changes up to it. */
    private void observe(KeyValueEntry entry) {
        readAhead = true;
        watcher.observe(entry);
        readAhead = false;
    }

    /** Reads the owner's key until the store answers, and campaigns if the key is absent. */
    private void readOwner() {
        context.callStore(new KeyValueRequest.Get(CellKeys.OWNER), result -> {
            if (result instanceof KeyValueResult.Found found) {
                observe(found.entry());
            } else if (result instanceof KeyValueResult.Missing) {
                campaignIfVacant();
            } else {
                context.schedule(RETRY_DELAY, this::readOwner);
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
            context.schedule(campaignDelay(), this::campaignIfVacant);
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
        if (isPredecessor(record)) {
            campaignIfVacant();
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

    /**
     * Returns whether an owner is a former process of this host. It has ended, as this process uses its address, so its
     * key can be replaced before its lease expires.
     */
    private boolean isPredecessor(OwnerRecord record) {
        return record.address().equals(self.address()) && !record.process().equals(self.process());
    }

    private boolean vacant() {
        return owner.isEmpty() || isPredecessor(owner.get());
    }

    private Duration campaignDelay() {
        return campaignDelay.of(roundTrip, ownerVersion);
    }

    private void campaignIfVacant() {
        if (retired || campaignRunning || owning() || !vacant() || !watcher.initialListReceived()) {
            if (!retired && !watcher.initialListReceived()) {
                context.schedule(RETRY_DELAY, this::campaignIfVacant);
            }
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
            abandonCampaign(leased.leaseId(), retired ? "the process is stopping" : "another process was elected");
            return;
        }
        OwnershipClaim claim = new OwnershipClaim(leased.leaseId(), context.now());
        long replacedVersion = owner.isPresent() ? ownerVersion : KeyValueRequest.ABSENT;
        KeyValueRequest write = new KeyValueRequest.Transaction(
                List.of(new KeyValueRequest.Condition(CellKeys.OWNER, replacedVersion)),
                List.of(new KeyValueRequest.Write(
                        CellKeys.OWNER, JsonCodec.compact().encode(self), claim.leaseId())),
                List.of());
        context.callStore(write, outcome -> applyClaimResult(outcome, claim));
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

    private void revokeLease() {
        if (leaseId != null) {
            revoke(leaseId);
            leaseId = null;
        }
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
        context.schedule(RETRY_DELAY, this::campaignIfVacant);
    }

    private void abandonCampaign(String claimLeaseId, String detail) {
        campaignRunning = false;
        LOGGER.atInfo().log("event=campaign_abandoned detail=\"%s\"", detail);
        revoke(claimLeaseId);
    }

    private void becomeOwner(long version, OwnershipClaim claim) {
        if (retired || version < ownerVersion) {
            abandonCampaign(claim.leaseId(), retired ? "the process is stopping" : "the key has changed since");
            return;
        }
        // A claim may be carried out late, after a handover was accepted and its lease has ended.
        stepDown("a later claim of this process was carried out");
        leaseId = claim.leaseId();
        failedCampaigns = 0;
        ownedVersion = version;
        ownerVersion = Math.max(ownerVersion, version);
        owner = Optional.of(self);
        recordConfirmation(claim.sentAt());
        LOGGER.atInfo().log("event=elected version=%d", version);
        listener.elected(version);
        reportFormerOwner();
        scheduleRenewal(LEASE_RENEWAL_INTERVAL);
    }

    private void scheduleRenewal(Duration delay) {
        long version = ownedVersion;
        context.schedule(delay, () -> {
            if (ownedVersion == version && owning()) {
                renew();
                scheduleRenewal(LEASE_RENEWAL_INTERVAL);
            }
        });
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
        if (handoverLeaseId != null && !handoverLeaseId.equals(leaseId)) {
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
        String ownLeaseId = leaseId;
        leaseId = null;
        stepDown("handed over to " + successor.process());
        KeyValueRequest write = new KeyValueRequest.Transaction(
                List.of(new KeyValueRequest.Condition(CellKeys.OWNER, version)),
                List.of(new KeyValueRequest.Write(
                        CellKeys.OWNER, JsonCodec.compact().encode(successor), successorLeaseId)),
                List.of());
        context.callStore(write, result -> {
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
            renew();
        }
    }

    /** Asks the store at once to confirm the ownership, unless such a call is under way. */
    public void confirmSoon() {
        if (owning() && renewalsInFlight == 0) {
            renew();
        }
    }

    private void renew() {
        long version = ownedVersion;
        Instant sentAt = context.now();
        renewalsInFlight++;
        context.callStore(new KeyValueRequest.RenewLease(leaseId), result -> {
            renewalsInFlight--;
            if (ownedVersion != version) {
                return;
            }
            if (result instanceof KeyValueResult.Leased) {
                recordConfirmation(sentAt);
            } else if (result instanceof KeyValueResult.LeaseEnded) {
                stepDown("the lease of the owner's key has ended");
            } else {
                LOGGER.atWarning().log("event=renewal_unanswered result=%s", result);
            }
        });
    }
}
