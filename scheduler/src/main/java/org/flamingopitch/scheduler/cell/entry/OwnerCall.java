package org.flamingopitch.scheduler.cell.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.scheduler.cell.owner.JobAnswer;
import org.flamingopitch.scheduler.cell.owner.JobRequest;
import org.flamingopitch.scheduler.cell.owner.OwnerRecord;

/**
 * One request on its way to the owner. All requests are idempotent by the job's id, so that an unanswered one is sent
 * again, to another owner if there is one by then.
 */
final class OwnerCall {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final Duration RETRY_DELAY = Duration.ofMillis(60);

    /** An owner that is alive answers within a few round trips to the store and between regions. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_200);

    /** The caller must have the answer before it stops to wait. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(250);

    /** A takeover ends within this time, or the caller had better come back. */
    private static final Duration LONGEST_WAIT_FOR_OWNER = Duration.ofMillis(2_200);

    private static final Duration STORE_READ_AFTER = Duration.ofMillis(400);

    private final LoopContext context;

    private final CellNode node;

    private final OwnerLink link;

    private final JobRequest request;

    private final Consumer<JobAnswer> handler;

    private final Instant startedAt;

    private final Instant deadline;

    private boolean inDoubt;

    /** Whether an attempt may still be carried out. */
    private boolean underWay;

    private boolean storeAsked;

    private boolean ended;

    OwnerCall(
            LoopContext context,
            CellNode node,
            OwnerLink link,
            JobRequest request,
            Duration patience,
            Consumer<JobAnswer> handler) {
        this.context = context;
        this.node = node;
        this.link = link;
        this.request = request;
        this.handler = handler;
        this.startedAt = context.now();
        this.deadline = startedAt.plus(patience).minus(ANSWER_MARGIN);
    }

    void start() {
        Duration left = Duration.between(startedAt, deadline);
        if (!left.isNegative() && !left.isZero()) {
            context.schedule(left, this::giveUp);
        }
        attempt();
    }

    private void attempt() {
        if (ended) {
            return;
        }
        Instant now = context.now();
        if (!now.isBefore(deadline)) {
            giveUp();
            return;
        }
        if (node.owning()) {
            underWay = true;
            node.askLocally(request, this::answered);
            return;
        }
        Optional<OwnerRecord> owner = node.remoteOwner();
        if (owner.isEmpty()) {
            waitForOwner(now);
            return;
        }
        underWay = true;
        link.forward(owner.get(), request, ANSWER_TIMEOUT, this::forwarded);
    }

    private void waitForOwner(Instant now) {
        if (!now.isBefore(startedAt.plus(LONGEST_WAIT_FOR_OWNER))) {
            giveUp();
            return;
        }
        again();
    }

    private void again() {
        boolean slow = !context.now().isBefore(startedAt.plus(STORE_READ_AFTER));
        if (slow && !storeAsked && request instanceof JobRequest.AskState ask) {
            storeAsked = true;
            StoredState.read(context, ask.id(), state -> state.ifPresent(this::end));
        }
        context.schedule(RETRY_DELAY, this::attempt);
    }

    private void forwarded(ForwardOutcome outcome) {
        underWay = false;
        if (outcome instanceof ForwardOutcome.Answered answered) {
            answered(answered.answer());
            return;
        }
        if (outcome instanceof ForwardOutcome.Lost lost) {
            inDoubt = true;
            LOGGER.atWarning().log("event=forward_unanswered request=%s detail=\"%s\"", request, lost.detail());
        }
        again();
    }

    private void answered(JobAnswer answer) {
        underWay = false;
        if (answer instanceof JobAnswer.InDoubt) {
            inDoubt = true;
            again();
            return;
        }
        if (answer instanceof JobAnswer.NotOwner) {
            again();
            return;
        }
        if (inDoubt && answer instanceof JobAnswer.Refused) {
            // An earlier copy of the submission may be stored by a transaction that is still under way.
            again();
            return;
        }
        end(answer);
    }

    private void giveUp() {
        if (request instanceof JobRequest.AskPending || request instanceof JobRequest.Submit) {
            end(
                    inDoubt || underWay
                            ? new JobAnswer.InDoubt()
                            : new JobAnswer.Refused(Duration.ofSeconds(1), "no owner"));
            return;
        }
        end(new JobAnswer.InDoubt());
    }

    private void end(JobAnswer answer) {
        if (!ended) {
            ended = true;
            handler.accept(answer);
        }
    }
}
