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

/** Keeps what the owners told of the free room in their racks, and chooses a rack near the caller. */
public final class LoadBoard {

    private static final int TIERS = 3;

    private final String dataCentre;

    private final String region;

    private final RandomGenerator random;

    private final Map<PartitionId, RackLoad> loads = new HashMap<>();

    private List<List<PartitionId>> tiers = List.of();

    /**
     * Creates a board.
     *
     * @param dataCentre the data centre of this process
     * @param region its region
     * @param random breaks ties
     */
    public LoadBoard(String dataCentre, String region, RandomGenerator random) {
        this.dataCentre = dataCentre;
        this.region = region;
        this.random = random;
    }

    /**
     * Takes over a changed inventory.
     *
     * @param configuration the configuration
     */
    public void configurationChanged(Configuration configuration) {
        List<List<PartitionId>> newTiers = new ArrayList<>();
        for (int i = 0; i < TIERS; i++) {
            newTiers.add(new ArrayList<>());
        }
        for (DataCentreSpec each : configuration.dataCentres()) {
            List<PartitionId> tier = newTiers.get(tier(each));
            each.racks().forEach(rack -> tier.add(Configuration.partition(each, rack)));
        }
        tiers = newTiers;
    }

    /**
     * Notes what an owner told.
     *
     * @param load the load
     */
    public void update(RackLoad load) {
        loads.put(load.rack(), load);
    }

    /**
     * Chooses a rack for an urgent request: the nearest with free slots, else the nearest with an owner.
     *
     * @param avoided racks that refused it
     * @param reachable tells whether a rack has an owner that can be reached
     * @return the rack
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
     * Chooses a rack for a task: any with a free slot for batch work.
     *
     * @param reachable tells whether a rack has an owner that can be reached
     * @return the rack
     */
    public Optional<PartitionId> chooseForTask(Predicate<PartitionId> reachable) {
        List<PartitionId> all = tiers.stream().flatMap(List::stream).toList();
        Optional<PartitionId> chosen = choose(all, reachable, RackLoad::batchSlots);
        chosen.ifPresent(this::takeBatchSlot);
        return chosen;
    }

    private int tier(DataCentreSpec each) {
        if (each.name().equals(dataCentre)) {
            return 0;
        }
        return each.region().equals(region) ? 1 : 2;
    }

    private Optional<PartitionId> choose(
            List<PartitionId> racks, Predicate<PartitionId> eligible, ToIntFunction<RackLoad> room) {
        PartitionId best = null;
        int bestRoom = 0;
        int offset = racks.isEmpty() ? 0 : random.nextInt(racks.size());
        for (int i = 0; i < racks.size(); i++) {
            PartitionId rack = racks.get((i + offset) % racks.size());
            RackLoad load = loads.get(rack);
            if (load != null && room.applyAsInt(load) > bestRoom && eligible.test(rack)) {
                best = rack;
                bestRoom = room.applyAsInt(load);
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
