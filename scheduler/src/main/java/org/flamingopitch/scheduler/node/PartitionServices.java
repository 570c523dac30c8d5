package org.flamingopitch.scheduler.node;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.ownership.OwnershipListener;
import org.flamingopitch.scheduler.message.RackLoad;
import org.flamingopitch.scheduler.model.WorkerId;
import org.flamingopitch.scheduler.rack.RackPort;
import org.flamingopitch.scheduler.rack.RackService;
import org.flamingopitch.scheduler.shard.ShardPort;
import org.flamingopitch.scheduler.shard.ShardService;
import org.flamingopitch.scheduler.worker.HostStatus;

/** Starts, looks up and closes the service of each rack and shard that this process owns. */
final class PartitionServices {

    private final NodeContext context;

    private final NodeSettings settings;

    private final Map<PartitionId, RackService> racks = new TreeMap<>();

    private final Map<PartitionId, ShardService> shards = new TreeMap<>();

    private final Set<WorkerId> leaving = new HashSet<>();

    private CoordinationServices coordination;

    private RackPort rackPort;

    private ShardPort shardPort;

    PartitionServices(NodeContext context, NodeSettings settings) {
        this.context = context;
        this.settings = settings;
    }

    void initialize(CoordinationServices newCoordination, RackPort newRackPort, ShardPort newShardPort) {
        coordination = newCoordination;
        rackPort = newRackPort;
        shardPort = newShardPort;
    }

    OwnershipListener rackListener() {
        return new RackListener();
    }

    OwnershipListener shardListener() {
        return new ShardListener();
    }

    Optional<RackService> rack(PartitionId rack) {
        return Optional.ofNullable(racks.get(rack));
    }

    Optional<ShardService> shard(PartitionId shard) {
        return Optional.ofNullable(shards.get(shard));
    }

    boolean isEmpty() {
        return racks.isEmpty() && shards.isEmpty();
    }

    List<RackLoad> rackLoads() {
        return racks.values().stream().map(RackService::load).toList();
    }

    List<RackStatus> rackStatuses() {
        return racks.values().stream().map(RackService::status).toList();
    }

    List<ShardStatus> shardStatuses() {
        return shards.values().stream().map(ShardService::status).toList();
    }

    void configurationChanged() {
        racks.values().forEach(rack -> rack.updateWorkers(leaving));
    }

    void hostsListed(List<HostStatus> hosts) {
        leaving.clear();
        hosts.stream().filter(HostStatus::leaving).forEach(host -> leaving.add(host.host()));
        racks.values().forEach(rack -> rack.updateWorkers(leaving));
    }

    void poll() {
        List.copyOf(racks.values()).forEach(RackService::poll);
        List.copyOf(shards.values()).forEach(ShardService::poll);
    }

    private final class RackListener implements OwnershipListener {

        @Override
        public void gained(PartitionId partition, long epoch) {
            context.audit(AuditType.PARTITION_GAINED, partition.value(), "epoch=" + epoch);
            RackService rack = new RackService(
                    context,
                    partition,
                    coordination.racks(),
                    coordination.config()::current,
                    settings.timings(),
                    rackPort);
            racks.put(partition, rack);
            rack.start(leaving);
        }

        @Override
        public void lost(PartitionId partition) {
            context.audit(AuditType.PARTITION_LOST, partition.value(), "another process owns it or it was removed");
            racks.remove(partition).close();
        }

        @Override
        public void handOver(PartitionId partition, Runnable done) {
            racks.get(partition).handOver(done);
        }
    }

    private final class ShardListener implements OwnershipListener {

        @Override
        public void gained(PartitionId partition, long epoch) {
            context.audit(AuditType.PARTITION_GAINED, partition.value(), "epoch=" + epoch);
            ShardService shard = new ShardService(
                    context,
                    partition,
                    epoch,
                    coordination.shards(),
                    settings.timings(),
                    settings.journal(),
                    settings.oncePolicy(),
                    StoreKeys.JOURNALS,
                    shardPort);
            shards.put(partition, shard);
            shard.start();
        }

        @Override
        public void lost(PartitionId partition) {
            context.audit(AuditType.PARTITION_LOST, partition.value(), "another process owns it or it was removed");
            shards.remove(partition).close();
        }

        @Override
        public void handOver(PartitionId partition, Runnable done) {
            shards.get(partition).handOver(done);
        }
    }
}
