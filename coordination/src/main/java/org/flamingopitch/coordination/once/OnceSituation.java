package org.flamingopitch.coordination.once;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * What a decision on a new key rests on.
 *
 * @param mintedAt when an entry host minted the key, empty for an opaque key
 * @param ownedSince when this owner began to decide
 * @param clockSkew how far the clocks of two entry hosts may differ
 * @param formerOwnerRecordedAll whether the owner before this one ended with everything it ran on record
 * @param journalHealthy whether records become durable quickly
 */
public record OnceSituation(
        Optional<Instant> mintedAt,
        Instant ownedSince,
        Duration clockSkew,
        boolean formerOwnerRecordedAll,
        boolean journalHealthy) {

    /**
     * Tells whether the key is certainly younger than this owner's epoch.
     *
     * @return whether no former owner can have seen the key
     */
    public boolean youngerThanEpoch() {
        Instant bound = ownedSince.plus(clockSkew);
        return mintedAt.filter(minted -> minted.isAfter(bound)).isPresent();
    }
}
