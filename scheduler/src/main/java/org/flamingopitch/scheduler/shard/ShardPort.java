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

/** What a shard's owner needs of the rest of its process. */
public interface ShardPort {

    /**
     * Looks up a rule.
     *
     * @param kind the kind of work
     * @return the rule, if the configuration has it
     */
    Optional<KindRule> rule(KindName kind);

    /**
     * Runs a request on a worker; it is tried again only with proof that it did not run.
     *
     * @param rule the rule of its kind
     * @param payload the request
     * @param deadline when the caller stops waiting
     * @param reply receives the outcome exactly once
     */
    void execute(KindRule rule, Payload payload, Instant deadline, Consumer<Outcome> reply);

    /**
     * Chooses a rack with room for a task.
     *
     * @return the rack, if there is one
     */
    Optional<PartitionId> chooseRack();

    /**
     * Sends a message to the owner of a rack, in this process or another.
     *
     * @param rack the rack
     * @param message the message
     */
    void sendToRack(PartitionId rack, PeerMessage message);
}
