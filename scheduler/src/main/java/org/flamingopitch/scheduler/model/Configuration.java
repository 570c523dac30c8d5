package org.flamingopitch.scheduler.model;

import java.util.List;
import java.util.Optional;
import org.flamingopitch.coordination.api.PartitionId;

/**
 * The configuration that operators edit.
 *
 * @param homeRegion the region whose processes own the jobs and idempotency keys; it has to be the region of the
 *     key-value store
 * @param shards the number of partitions over which jobs and idempotency keys are divided; must not change while any
 *     are stored
 * @param dataCentres the inventory of data centres, racks and workers
 * @param rules the rules for kinds of work
 */
public record Configuration(String homeRegion, int shards, List<DataCentreSpec> dataCentres, Rules rules) {

    /**
     * Looks up the rule of a kind of work.
     *
     * @param kind the kind
     * @return its rule, if there is one
     */
    public Optional<KindRule> kind(KindName kind) {
        return rules.kinds().stream().filter(rule -> rule.name().equals(kind)).findFirst();
    }

    /**
     * Returns the partition id of a rack.
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
