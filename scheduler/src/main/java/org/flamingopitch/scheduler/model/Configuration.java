package org.flamingopitch.scheduler.model;

import java.util.List;
import java.util.Optional;
import org.flamingopitch.coordination.api.PartitionId;

/**
 * The configuration that operators edit.
 *
 * @param homeRegion the region whose processes keep the jobs and idempotency keys: the store's region
 * @param shards into how many partitions jobs and keys are divided; must not change while work is kept
 * @param dataCentres the inventory
 * @param rules the rules
 */
public record Configuration(String homeRegion, int shards, List<DataCentreSpec> dataCentres, Rules rules) {

    /**
     * Looks up a kind.
     *
     * @param kind the kind
     * @return its rule, if there is one
     */
    public Optional<KindRule> kind(KindName kind) {
        return rules.kinds().stream().filter(rule -> rule.name().equals(kind)).findFirst();
    }

    /**
     * Names the partition of a rack.
     *
     * @param dataCentre the data centre
     * @param rack the rack
     * @return the partition
     */
    public static PartitionId partition(DataCentreSpec dataCentre, RackSpec rack) {
        return new PartitionId(dataCentre.name() + "/" + rack.name());
    }

    /**
     * Looks up a data centre.
     *
     * @param name the name
     * @return the data centre, if the inventory has it
     */
    public Optional<DataCentreSpec> dataCentre(String name) {
        return dataCentres.stream().filter(each -> each.name().equals(name)).findFirst();
    }
}
