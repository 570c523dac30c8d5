package org.flamingopitch.scheduler.shard;

import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.KindRule;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Payload;

/** Operations that a shard's owner uses in the rest of its process. */
public interface ShardPort {

    /**
     * Looks up the rule for a kind of work.
     *
     * @param kind the kind of work
     * @return the rule, if the configuration has it
     */
    Optional<KindRule> rule(KindName kind);

    /**
     * Runs a request on a worker. It is retried only if it is proven not to have run, or if its kind is idempotent.
     *
     * @param rule the rule for its kind of work
     * @param payload the request
     * @param deadline when the caller stops waiting
     * @param reply receives the outcome exactly once
     */
    void execute(KindRule rule, Payload payload, Instant deadline, Consumer<Outcome> reply);

    /**
     * Chooses a rack with free capacity for a task.
     *
     * @return the rack, or empty if none has free capacity
     */
    Optional<PartitionId> chooseRack();

    /**
     * Sends a message to the owner of a rack, in this process or another; it is dropped if no owner is reachable.
     *
     * @param rack the rack
     * @param message the message
     */
    void sendToRack(PartitionId rack, PeerMessage message);
}
