package org.flamingopitch.scheduler.route;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.scheduler.message.PeerMessage;

/**
 * A call that an owner has to answer.
 *
 * @param <A> the type of the answers
 */
public interface CallSpec<A> {

    /**
     * Chooses where the call goes.
     *
     * @param avoided partitions that refused it already
     * @return the route, if there is an owner
     */
    Optional<Route> route(Set<PartitionId> avoided);

    /**
     * Creates the message to an owner in another process.
     *
     * @param id the correlation id
     * @param partition the partition
     * @param remaining how long the caller still waits
     * @return the message
     */
    PeerMessage message(long id, PartitionId partition, Duration remaining);

    /**
     * Calls the owner in this process.
     *
     * @param partition the partition
     * @param remaining how long the caller still waits
     * @param reply receives the answer
     * @return cancels the call
     */
    Runnable local(PartitionId partition, Duration remaining, Consumer<A> reply);

    /**
     * Judges an answer.
     *
     * @param answer the answer
     * @return what it means
     */
    Verdict verdict(A answer);

    /**
     * Judges the loss of the connection to the owner.
     *
     * @return the answer to give, or empty if another try is safe
     */
    Optional<A> connectionLost();

    /**
     * Tells whether an answer claims that nothing ran, which an earlier try in doubt makes void.
     *
     * @param answer the answer
     * @return whether it claims that
     */
    boolean claimsNotRun(A answer);

    /**
     * Creates the answer for a caller that waited in vain.
     *
     * @param mayHaveRun whether an owner may have acted
     * @return the answer
     */
    A timedOut(boolean mayHaveRun);
}
