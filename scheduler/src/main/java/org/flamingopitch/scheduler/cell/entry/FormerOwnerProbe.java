package org.flamingopitch.scheduler.cell.entry;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.owner.JobAnswer;
import org.flamingopitch.scheduler.cell.owner.JobRequest;
import org.flamingopitch.scheduler.cell.owner.OwnerRecord;

/**
 * Asks the process at the address of the former owner until it answers that it does not own the cell. Either the former
 * owner has given up, or another process has its address, so that the former owner has ended.
 */
final class FormerOwnerProbe {

    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(500);

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    /** Changes nothing; only a process that does not own the cell answers it with {@link JobAnswer.NotOwner}. */
    private static final JobRequest REQUEST = new JobRequest.AskState(new JobId("0000000000000000"));

    private final LoopContext context;

    private final OwnerClient ownerClient;

    private final OwnerRecord formerOwner;

    private final BooleanSupplier wanted;

    private final Runnable onStopped;

    /**
     * Creates the probe.
     *
     * @param wanted whether the answer is still of use
     * @param onStopped called once when the former owner is known to extend no more leases
     */
    FormerOwnerProbe(
            LoopContext context,
            OwnerClient ownerClient,
            OwnerRecord formerOwner,
            BooleanSupplier wanted,
            Runnable onStopped) {
        this.context = context;
        this.ownerClient = ownerClient;
        this.formerOwner = formerOwner;
        this.wanted = wanted;
        this.onStopped = onStopped;
    }

    void start() {
        if (wanted.getAsBoolean()) {
            ownerClient.forward(formerOwner, REQUEST, ANSWER_TIMEOUT, this::handleOutcome);
        }
    }

    private void handleOutcome(ForwardOutcome outcome) {
        boolean stopped =
                outcome instanceof ForwardOutcome.Answered answered && answered.answer() instanceof JobAnswer.NotOwner;
        if (!stopped) {
            context.schedule(RETRY_DELAY, this::start);
        } else if (wanted.getAsBoolean()) {
            onStopped.run();
        }
    }
}
