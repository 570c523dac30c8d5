package org.flamingopitch.scheduler.route;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.scheduler.message.PeerMessage;

/**
 * A call to the owner of a partition: its route, its message, and how to treat its answers.
 *
 * @param <A> the type of the answers
 */
public interface CallSpec<A> {

    /**
     * Chooses the partition and owner to call.
     *
     * @param avoided the partitions where earlier attempts failed
     * @return the route, or empty if no owner can be reached
     */
    Optional<Route> chooseRoute(Set<PartitionId> avoided);

    /**
     * Creates the message to an owner in another process.
     *
     * @param id the correlation id
     * @param partition the partition
     * @param remaining the time until the caller stops waiting
     * @return the message
     */
    PeerMessage createMessage(long id, PartitionId partition, Duration remaining);

    /**
     * Calls the owner in this process.
     *
     * @param partition the partition
     * @param remaining the time until the caller stops waiting
     * @param reply receives the answer
     * @return an action that cancels the call
     */
    Runnable callLocally(PartitionId partition, Duration remaining, Consumer<A> reply);

    /**
     * Decides whether to retry a call after an answer.
     *
     * @param answer the answer
     * @return whether the answer is final
     */
    RetryDecision decideRetry(A answer);

    /**
     * Returns the answer to a call whose connection to the owner was lost.
     *
     * @return the answer to give, or empty if a retry is safe
     */
    Optional<A> answerOnConnectionLost();

    /**
     * Returns whether an answer states that the work did not run. That holds for one attempt only: if the outcome of an
     * earlier attempt is unknown, the caller must not get this answer.
     *
     * @param answer the answer
     * @return whether the answer states that the work did not run
     */
    boolean statesNotRun(A answer);

    /**
     * Creates the answer for a caller whose deadline has passed.
     *
     * @param mayHaveRun whether any attempt may have taken effect
     * @return the answer
     */
    A answerOnTimeout(boolean mayHaveRun);
}
