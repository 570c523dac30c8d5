package org.flamingopitch.scheduler.cell.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.scheduler.cell.owner.Election;
import org.flamingopitch.scheduler.cell.owner.JobAnswer;
import org.flamingopitch.scheduler.cell.owner.JobRequest;
import org.flamingopitch.scheduler.cell.owner.OwnerRecord;

/**
 * Asks the owner of the cell to hand it over to this process if the owner has far less processor time. Such an owner
 * falls behind with the orders of a large cell, so that most requests are refused or time out.
 */
final class OwnershipRequester {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Minimum ratio of the processor times. A smaller gain is not worth the interruption by a takeover. */
    private static final double MIN_PROCESSOR_RATIO = 2;

    /** How long an owner must have been seen before it is asked; another election may be under way. */
    private static final Duration MIN_OWNER_AGE = Duration.ofSeconds(2);

    /** Delay of a host with one processor; hosts with more ask earlier, so that the strongest one usually asks first. */
    private static final Duration ONE_PROCESSOR_DELAY = Duration.ofMillis(600);

    private static final Duration RETRY_INTERVAL = Duration.ofSeconds(5);

    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_000);

    private final LoopContext context;

    private final Election election;

    private final OwnerClient ownerClient;

    private final OwnerRecord self;

    private long seenVersion;

    private Instant nextRequestAt = Instant.MAX;

    OwnershipRequester(LoopContext context, Election election, OwnerClient ownerClient, OwnerRecord self) {
        this.context = context;
        this.election = election;
        this.ownerClient = ownerClient;
        this.self = self;
    }

    /** Asks the present owner if it is weaker and the time to ask has come; called at regular intervals. */
    void tick() {
        Optional<OwnerRecord> owner = election.owner();
        if (owner.isEmpty() || election.owning() || !isFarWeaker(owner.get())) {
            return;
        }
        if (election.ownerVersion() != seenVersion) {
            seenVersion = election.ownerVersion();
            long delayMillis = (long) (ONE_PROCESSOR_DELAY.toMillis() / self.processors());
            nextRequestAt = context.now().plus(MIN_OWNER_AGE).plusMillis(delayMillis);
        }
        if (!context.now().isBefore(nextRequestAt)) {
            nextRequestAt = context.now().plus(RETRY_INTERVAL);
            election.prepareHandover(lease -> lease.ifPresent(id -> request(owner.get(), id)));
        }
    }

    private boolean isFarWeaker(OwnerRecord owner) {
        return !owner.process().equals(self.process())
                && owner.processors() > 0
                && self.processors() >= MIN_PROCESSOR_RATIO * owner.processors();
    }

    private void request(OwnerRecord owner, String leaseId) {
        LOGGER.atInfo().log(
                "event=ownership_requested owner=%s processors=%.2f own_processors=%.2f",
                owner.process(), owner.processors(), self.processors());
        ownerClient.forward(owner, new JobRequest.RequestOwnership(self, leaseId), ANSWER_TIMEOUT, this::handleOutcome);
    }

    private void handleOutcome(ForwardOutcome outcome) {
        boolean accepted =
                outcome instanceof ForwardOutcome.Answered answered && answered.answer() instanceof JobAnswer.Accepted;
        boolean outcomeUnknown = outcome instanceof ForwardOutcome.Lost;
        if (!accepted && !outcomeUnknown) {
            LOGGER.atInfo().log("event=ownership_not_given outcome=%s", outcome);
            election.cancelHandover();
        }
    }
}
