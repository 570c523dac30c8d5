package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;

/** Renews the lease under which the owner's record hangs, while this process is the owner. */
final class LeaseRenewal {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final Duration INTERVAL = Duration.ofMillis(500);

    private final LoopContext context;

    private final Consumer<Instant> onRenewed;

    private final Runnable onEnded;

    /** The lease that is renewed, null while this process is not the owner. */
    private String leaseId;

    private int inFlight;

    /**
     * Creates a renewal that renews nothing yet.
     *
     * @param onRenewed receives the time at which a call was sent by which the lease was renewed
     * @param onEnded runs when the store answers that the lease has ended
     */
    LeaseRenewal(LoopContext context, Consumer<Instant> onRenewed, Runnable onEnded) {
        this.context = context;
        this.onRenewed = onRenewed;
        this.onEnded = onEnded;
    }

    /** Renews a lease from now on, first after one interval. */
    void start(String lease) {
        leaseId = lease;
        scheduleNext(lease);
    }

    /** Ends the renewals and returns the lease that was renewed, if there was one. */
    Optional<String> stop() {
        Optional<String> renewed = Optional.ofNullable(leaseId);
        leaseId = null;
        return renewed;
    }

    boolean renews(String lease) {
        return lease.equals(leaseId);
    }

    private void scheduleNext(String lease) {
        context.schedule(INTERVAL, () -> {
            if (renews(lease)) {
                renew();
                scheduleNext(lease);
            }
        });
    }

    /** Renews the lease at once, unless such a call is under way. */
    void renewSoon() {
        if (inFlight == 0) {
            renew();
        }
    }

    /** Renews the lease at once. */
    void renew() {
        String lease = leaseId;
        Instant sentAt = context.now();
        inFlight++;
        context.callStore(new KeyValueRequest.RenewLease(lease), result -> {
            inFlight--;
            if (!renews(lease)) {
                return;
            }
            if (result instanceof KeyValueResult.Leased) {
                onRenewed.accept(sentAt);
            } else if (result instanceof KeyValueResult.LeaseEnded) {
                onEnded.run();
            } else {
                LOGGER.atWarning().log("event=renewal_unanswered result=%s", result);
            }
        });
    }
}
