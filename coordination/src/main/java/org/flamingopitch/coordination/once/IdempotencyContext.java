package org.flamingopitch.coordination.once;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * The facts on which the decision about a key that is not in the table depends.
 *
 * @param issuedAt when an entry host issued the key, empty for an opaque key
 * @param ownedSince when this owner gained the partition, which begins its epoch
 * @param clockSkew the largest difference between the clocks of two entry hosts
 * @param formerOwnerRecordedAll whether the former owner had recorded every key that it ran by the time its ownership ended
 * @param journalHealthy whether journal records become durable quickly
 */
public record IdempotencyContext(
        Optional<Instant> issuedAt,
        Instant ownedSince,
        Duration clockSkew,
        boolean formerOwnerRecordedAll,
        boolean journalHealthy) {

    /**
     * Returns whether the key was certainly issued after this owner's epoch began.
     *
     * @return whether no former owner can have received the key
     */
    public boolean issuedInThisEpoch() {
        Instant earliest = ownedSince.plus(clockSkew);
        return issuedAt.filter(time -> time.isAfter(earliest)).isPresent();
    }
}
