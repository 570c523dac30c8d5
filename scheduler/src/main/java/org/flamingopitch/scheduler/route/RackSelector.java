package org.flamingopitch.scheduler.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.scheduler.message.RackLoad;
import org.flamingopitch.scheduler.model.Configuration;
import org.flamingopitch.scheduler.model.DataCentreSpec;

/** Chooses racks by the free slots that their owners report. For a request, racks near the caller come first. */
public final class RackSelector {

    /** The same data centre, the same region, and all other racks. */
    private static final int PROXIMITY_TIERS = 3;

    private final String dataCentre;

    private final String region;

    private final RandomGenerator random;

    private final Map<PartitionId, RackLoad> loads = new HashMap<>();

    /** The racks by proximity, nearest first. */
    private List<List<PartitionId>> tiers = List.of();

    /**
     * Creates a selector that knows no racks yet.
     *
     * @param dataCentre the data centre of this process
     * @param region its region
     * @param random spreads the choice over racks that are equally suitable
     */
    public RackSelector(String dataCentre, String region, RandomGenerator random) {
        this.dataCentre = dataCentre;
        this.region = region;
        this.random = random;
    }

    /**
     * Replaces the racks by those of a new configuration.
     *
     * @param configuration the configuration
     */
    public void configurationChanged(Configuration configuration) {
        List<List<PartitionId>> newTiers = new ArrayList<>();
        for (int i = 0; i < PROXIMITY_TIERS; i++) {
            newTiers.add(new ArrayList<>());
        }
        for (DataCentreSpec each : configuration.dataCentres()) {
            List<PartitionId> tier = newTiers.get(proximityTier(each));
            each.racks().forEach(rack -> tier.add(Configuration.partition(each, rack)));
        }
        tiers = newTiers;
    }

    /**
     * Updates the free slots of a rack.
     *
     * @param load the free slots that the owner reported
     */
    public void updateLoad(RackLoad load) {
        loads.put(load.rack(), load);
    }

    /**
     * Chooses a rack for an urgent request: the one with the most free slots in the nearest tier that has any, else a
     * random one in the nearest tier with a reachable owner.
     *
     * @param avoided the racks where earlier attempts failed
     * @param reachable returns whether the owner of a rack can be reached
     * @return the rack, or empty if no owner can be reached
     */
    public Optional<PartitionId> chooseForRequest(Set<PartitionId> avoided, Predicate<PartitionId> reachable) {
        Predicate<PartitionId> eligible = rack -> !avoided.contains(rack) && reachable.test(rack);
        for (List<PartitionId> tier : tiers) {
            Optional<PartitionId> free = choose(tier, eligible, RackLoad::urgentSlots);
            if (free.isPresent()) {
                takeUrgentSlot(free.get());
                return free;
            }
        }
        for (List<PartitionId> tier : tiers) {
            List<PartitionId> candidates = tier.stream().filter(eligible).toList();
            if (!candidates.isEmpty()) {
                return Optional.of(candidates.get(random.nextInt(candidates.size())));
            }
        }
        return Optional.empty();
    }

    /**
     * Chooses the rack with the most free slots for tasks.
     *
     * @param reachable returns whether the owner of a rack can be reached
     * @return the rack, or empty if none has a free slot
     */
    public Optional<PartitionId> chooseForTask(Predicate<PartitionId> reachable) {
        List<PartitionId> all = tiers.stream().flatMap(List::stream).toList();
        Optional<PartitionId> chosen = choose(all, reachable, RackLoad::batchSlots);
        chosen.ifPresent(this::takeBatchSlot);
        return chosen;
    }

    private int proximityTier(DataCentreSpec each) {
        if (each.name().equals(dataCentre)) {
            return 0;
        }
        return each.region().equals(region) ? 1 : 2;
    }

    private Optional<PartitionId> choose(
            List<PartitionId> racks, Predicate<PartitionId> eligible, ToIntFunction<RackLoad> freeSlots) {
        PartitionId best = null;
        int mostFreeSlots = 0;
        int offset = racks.isEmpty() ? 0 : random.nextInt(racks.size());
        for (int i = 0; i < racks.size(); i++) {
            PartitionId rack = racks.get((i + offset) % racks.size());
            RackLoad load = loads.get(rack);
            if (load != null && freeSlots.applyAsInt(load) > mostFreeSlots && eligible.test(rack)) {
                best = rack;
                mostFreeSlots = freeSlots.applyAsInt(load);
            }
        }
        return Optional.ofNullable(best);
    }

    private void takeUrgentSlot(PartitionId rack) {
        RackLoad load = loads.get(rack);
        loads.put(rack, new RackLoad(rack, load.urgentSlots() - 1, load.batchSlots()));
    }

    private void takeBatchSlot(PartitionId rack) {
        RackLoad load = loads.get(rack);
        loads.put(rack, new RackLoad(rack, load.urgentSlots(), load.batchSlots() - 1));
    }
}
