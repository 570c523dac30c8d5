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
 * Sends one request to the cell's owner and retries until the owner answers or the deadline passes. All requests are
 * idempotent by the job's id, so an unanswered request is sent again, to the new owner if there was a takeover.
 */
final class OwnerCall {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final Duration RETRY_DELAY = Duration.ofMillis(60);

    /** A reachable owner answers within a few round trips to the store and between regions. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_200);

    /** How long before the caller's own timeout the request ends, so that the answer still reaches the caller. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(250);

    /** Largest part of a short timeout that is kept for the answer. */
    private static final int ANSWER_MARGIN_DIVISOR = 4;

    /** A takeover usually completes within this time; if it does not, the caller should retry later. */
    private static final Duration MAX_WAIT_FOR_OWNER = Duration.ofMillis(2_200);

    /** How long the owner may fail to answer a state query before the state is also read from the store. */
    private static final Duration STORE_READ_DELAY = Duration.ofMillis(400);

    private final LoopContext context;

    private final CellNode node;

    private final OwnerClient ownerClient;

    private final JobRequest request;

    private final Consumer<JobAnswer> handler;

    private final Instant startedAt;

    private final Instant deadline;

    /** Whether an earlier attempt may have taken effect without a final answer. */
    private boolean outcomeUnknown;

    /** The newest election whose owner received an attempt of unknown outcome. */
    private long unknownElection;

    /** The election whose owner received the last attempt. */
    private long attemptElection;

    /** Whether an attempt is waiting for its answer. */
    private boolean attemptPending;

    private boolean storeReadStarted;

    /** Whether no further attempt is made. */
    private boolean ending;

    private boolean completed;

    OwnerCall(
            LoopContext context,
            CellNode node,
            OwnerClient ownerClient,
            JobRequest request,
            Duration timeout,
            Consumer<JobAnswer> handler) {
        this.context = context;
        this.node = node;
        this.ownerClient = ownerClient;
        this.request = request;
        this.handler = handler;
        this.startedAt = context.now();
        this.deadline = startedAt.plus(timeout).minus(answerMargin(timeout));
    }

    private static Duration answerMargin(Duration timeout) {
        Duration part = timeout.dividedBy(ANSWER_MARGIN_DIVISOR);
        return part.compareTo(ANSWER_MARGIN) < 0 ? part : ANSWER_MARGIN;
    }

    void start() {
        Duration remaining = Duration.between(startedAt, deadline);
        if (!remaining.isNegative() && !remaining.isZero()) {
            context.schedule(remaining, this::completeUnanswered);
        }
        attempt();
    }

    private void attempt() {
        if (completed || ending) {
            return;
        }
        Instant now = context.now();
        if (!now.isBefore(deadline)) {
            completeUnanswered();
            return;
        }
        attemptElection = node.ownerVersion();
        if (node.ownsCell()) {
            attemptPending = true;
            node.sendToLocalOwner(request, this::handleAnswer);
            return;
        }
        Optional<OwnerRecord> owner = node.remoteOwner();
        if (owner.isEmpty()) {
            waitForOwner(now);
            return;
        }
        attemptPending = true;
        ownerClient.forward(owner.get(), request, ANSWER_TIMEOUT, this::handleForwardOutcome);
    }

    private void waitForOwner(Instant now) {
        if (!now.isBefore(startedAt.plus(MAX_WAIT_FOR_OWNER))) {
            completeUnanswered();
            return;
        }
        retryLater();
    }

    private void retryLater() {
        boolean storeReadDue = !context.now().isBefore(startedAt.plus(STORE_READ_DELAY));
        if (storeReadDue && !storeReadStarted && request instanceof JobRequest.AskState ask) {
            storeReadStarted = true;
            StoredJobStateReader.read(context, ask.id(), state -> state.ifPresent(this::complete));
        }
        context.schedule(RETRY_DELAY, this::attempt);
    }

    private void handleForwardOutcome(ForwardOutcome outcome) {
        attemptPending = false;
        if (outcome instanceof ForwardOutcome.Answered answered) {
            handleAnswer(answered.answer());
            return;
        }
        if (outcome instanceof ForwardOutcome.Lost lost) {
            markOutcomeUnknown();
            LOGGER.atWarning().log("event=forward_unanswered request=%s detail=\"%s\"", request, lost.detail());
        }
        retryLater();
    }

    private void handleAnswer(JobAnswer answer) {
        attemptPending = false;
        if (answer instanceof JobAnswer.InDoubt) {
            markOutcomeUnknown();
            retryLater();
            return;
        }
        if (answer instanceof JobAnswer.NotOwner) {
            retryLater();
            return;
        }
        if (answer instanceof JobAnswer.Refused && !isRefusalCertain()) {
            retryLater();
            return;
        }
        complete(answer);
    }

    private void markOutcomeUnknown() {
        outcomeUnknown = true;
        unknownElection = Math.max(unknownElection, attemptElection);
    }

    /**
     * Returns whether no earlier attempt can take effect any more. The owner that refuses may still receive or store an
     * earlier attempt of its own, but not one of a former owner: commits require the key of the present owner.
     */
    private boolean isRefusalCertain() {
        return !outcomeUnknown || attemptElection > unknownElection;
    }

    private void completeUnanswered() {
        if (completed || ending) {
            return;
        }
        ending = true;
        boolean mayHaveTakenEffect = outcomeUnknown || attemptPending;
        if (!mayHaveTakenEffect && request instanceof JobRequest.Submit submit) {
            UnansweredSubmission.resolve(context, submit.id(), this::complete);
            context.schedule(ANSWER_MARGIN, () -> complete(new JobAnswer.InDoubt()));
        } else if (!mayHaveTakenEffect && request instanceof JobRequest.AskPending) {
            complete(new JobAnswer.Refused(Duration.ofSeconds(1), "no owner"));
        } else {
            complete(new JobAnswer.InDoubt());
        }
    }

    private void complete(JobAnswer answer) {
        if (!completed) {
            completed = true;
            handler.accept(answer);
        }
    }
}
