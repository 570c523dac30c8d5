package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.kv.StoreWatcher;

/** Follows the owner's key, takes it when nobody holds it, and keeps it with a lease. */
public final class Election {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The time without an owner after a crash; renewals come four times as often. */
    private static final Duration LEASE_TIME = Duration.ofMillis(2_000);

    private static final Duration RENEW_INTERVAL = Duration.ofMillis(500);

    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    /** A waiting call ends after this time, so that a silent connection is noticed. */
    private static final Duration WATCH_WAIT = Duration.ofMillis(2_500);

    /** Hosts that reach the store faster campaign earlier, by this many of their round trips. */
    private static final int HEAD_START_ROUND_TRIPS = 4;

    /** Spreads the candidates so that seldom two of them write at once. */
    private static final long SPREAD_MILLIS = 60;

    private final LoopContext context;

    private final OwnerRecord self;

    private final Listener listener;

    private final StoreWatcher watcher;

    private Optional<OwnerRecord> owner = Optional.empty();

    private long ownerVersion;

    private long ownedVersion;

    private String leaseId;

    private Instant confirmedAt = Instant.MIN;

    private Duration roundTrip = Duration.ofMillis(50);

    private boolean campaigning;

    private boolean retired;

    private int stubbornness;

    /**
     * Creates the election of one process.
     *
     * @param context the loop
     * @param self what this process writes when it wins
     * @param listener learns of changes
     */
    public Election(LoopContext context, OwnerRecord self, Listener listener) {
        this.context = context;
        this.self = self;
        this.listener = listener;
        this.watcher = new StoreWatcher(context, CellKeys.OWNER_PREFIX, WATCH_WAIT);
    }

    /** Starts to follow the owner's key. */
    public void start() {
        watcher.listen(this::changed);
        watcher.start();
        context.schedule(RETRY_DELAY, this::campaignIfVacant);
    }

    /** Gives up ownership and does not campaign again. */
    public void retire() {
        retired = true;
        if (leaseId != null) {
            context.keyValue(
                    new KeyValueRequest.RevokeLease(leaseId),
                    result -> LOGGER.atInfo().log("event=lease_returned result=%s", result));
        }
        stepDown("retired");
    }

    /**
     * Returns the owner as the store last showed it.
     *
     * @return the owner, if there is one
     */
    public Optional<OwnerRecord> owner() {
        return owner;
    }

    /**
     * Returns the version of the owner's key that {@link #owner()} shows.
     *
     * @return the version
     */
    public long ownerVersion() {
        return ownerVersion;
    }

    /**
     * Tells whether this process owns the cell, as far as it knows.
     *
     * @return whether it does
     */
    public boolean owning() {
        return ownedVersion > 0;
    }

    /**
     * Returns when the store last confirmed the ownership.
     *
     * @return when the confirmed call was sent
     */
    public Instant confirmedAt() {
        return confirmedAt;
    }

    /**
     * Tells whether the store has not answered lately.
     *
     * @return whether the last call that follows the owner failed
     */
    public boolean storeSilent() {
        return watcher.failing();
    }

    /**
     * Notes that the store confirmed the ownership in another way.
     *
     * @param sentAt when the confirmed call was sent
     */
    public void confirmed(Instant sentAt) {
        if (sentAt.isAfter(confirmedAt)) {
            confirmedAt = sentAt;
        }
    }

    /** Makes the ownership doubtful until the store confirms it again, after this process was suspended. */
    public void doubt() {
        confirmedAt = Instant.MIN;
        if (owning()) {
            renew();
        }
    }

    /**
     * Gives up after a proof that another process owns the cell.
     *
     * @param cause what showed it
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
        leaseId = null;
        listener.deposed(cause);
        if (owner.isEmpty()) {
            context.schedule(RETRY_DELAY, this::recheck);
        }
    }

    private void recheck() {
        context.keyValue(new KeyValueRequest.Get(CellKeys.OWNER), result -> {
            if (result instanceof KeyValueResult.Found found) {
                changed(found.entry());
            } else if (result instanceof KeyValueResult.Missing) {
                campaignIfVacant();
            } else {
                context.schedule(RETRY_DELAY, this::recheck);
            }
        });
    }

    private void changed(KeyValueEntry entry) {
        if (!entry.key().equals(CellKeys.OWNER) || entry.version() < ownerVersion) {
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
            context.schedule(headStart(), this::campaignIfVacant);
            return;
        }
        OwnerRecord record = JsonCodec.compact().decode(entry.value(), OwnerRecord.class);
        owner = Optional.of(record);
        LOGGER.atInfo().log("event=owner_seen owner=%s version=%d", record.process(), entry.version());
        if (owning() && entry.version() != ownedVersion) {
            stepDown("another process holds the owner's key");
        }
        listener.ownerChanged();
    }

    private Duration headStart() {
        long spread = Math.floorMod(self.process().value().hashCode() * 31L + ownerVersion, SPREAD_MILLIS);
        return roundTrip.multipliedBy(HEAD_START_ROUND_TRIPS).plusMillis(spread);
    }

    private void campaignIfVacant() {
        if (retired || campaigning || owning() || owner.isPresent() || !watcher.listed()) {
            if (!retired && !watcher.listed()) {
                context.schedule(RETRY_DELAY, this::campaignIfVacant);
            }
            return;
        }
        campaigning = true;
        Instant sentAt = context.now();
        context.keyValue(new KeyValueRequest.GrantLease(LEASE_TIME), result -> granted(result, sentAt));
    }

    private void granted(KeyValueResult result, Instant sentAt) {
        if (!(result instanceof KeyValueResult.Leased leased)) {
            campaignFailed("grant " + result);
            return;
        }
        roundTrip = Duration.between(sentAt, context.now());
        leaseId = leased.leaseId();
        Instant claimedAt = context.now();
        KeyValueRequest claim = new KeyValueRequest.Transaction(
                List.of(new KeyValueRequest.Condition(CellKeys.OWNER, KeyValueRequest.ABSENT)),
                List.of(new KeyValueRequest.Write(
                        CellKeys.OWNER, JsonCodec.compact().encode(self), leaseId)),
                List.of());
        context.keyValue(claim, outcome -> claimed(outcome, claimedAt));
    }

    private void claimed(KeyValueResult result, Instant sentAt) {
        if (result instanceof KeyValueResult.Written written) {
            won(written.version(), sentAt);
            return;
        }
        if (result instanceof KeyValueResult.ConditionFailed conflict) {
            campaigning = false;
            dropLease();
            conflict.actual().forEach(this::changed);
            return;
        }
        context.keyValue(new KeyValueRequest.Get(CellKeys.OWNER), read -> claimRead(read, sentAt));
    }

    /** Settles a claim whose answer was lost. */
    private void claimRead(KeyValueResult read, Instant sentAt) {
        if (read instanceof KeyValueResult.Found found) {
            OwnerRecord record = JsonCodec.compact().decode(found.entry().value(), OwnerRecord.class);
            if (record.process().equals(self.process())) {
                won(found.entry().version(), sentAt);
                return;
            }
            changed(found.entry());
        }
        dropLease();
        campaignFailed("claim unanswered");
    }

    private void dropLease() {
        if (leaseId != null) {
            context.keyValue(
                    new KeyValueRequest.RevokeLease(leaseId),
                    result -> LOGGER.atFine().log("event=lease_returned result=%s", result));
            leaseId = null;
        }
    }

    private void campaignFailed(String detail) {
        campaigning = false;
        stubbornness++;
        LOGGER.atInfo().log("event=campaign_failed attempt=%d detail=\"%s\"", stubbornness, detail);
        context.schedule(RETRY_DELAY, this::campaignIfVacant);
    }

    private void won(long version, Instant sentAt) {
        campaigning = false;
        stubbornness = 0;
        ownedVersion = version;
        ownerVersion = Math.max(ownerVersion, version);
        owner = Optional.of(self);
        confirmed(sentAt);
        LOGGER.atInfo().log("event=elected version=%d", version);
        listener.elected(version);
        scheduleRenewal(RENEW_INTERVAL);
    }

    private void scheduleRenewal(Duration delay) {
        long version = ownedVersion;
        context.schedule(delay, () -> {
            if (ownedVersion == version && owning()) {
                renew();
                scheduleRenewal(RENEW_INTERVAL);
            }
        });
    }

    private void renew() {
        long version = ownedVersion;
        Instant sentAt = context.now();
        context.keyValue(new KeyValueRequest.RenewLease(leaseId), result -> {
            if (ownedVersion != version) {
                return;
            }
            if (result instanceof KeyValueResult.Leased) {
                confirmed(sentAt);
            } else if (result instanceof KeyValueResult.LeaseEnded) {
                stepDown("the lease has ended");
            } else {
                LOGGER.atWarning().log("event=renewal_unanswered result=%s", result);
            }
        });
    }

    /** Learns of changes of the ownership. */
    public interface Listener {

        /**
         * This process owns the cell.
         *
         * @param version the version of the owner's key, which serves as fencing token
         */
        void elected(long version);

        /**
         * This process no longer owns the cell.
         *
         * @param cause what showed it
         */
        void deposed(String cause);

        /** The owner's key changed. */
        void ownerChanged();
    }
}
