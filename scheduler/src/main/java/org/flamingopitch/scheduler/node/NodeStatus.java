package org.flamingopitch.scheduler.node;

import java.util.List;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.coordination.ownership.OwnershipEntry;

/**
 * The state of an entry host.
 *
 * @param process the process
 * @param configVersion the version of the configuration in force
 * @param registered whether the process is registered as a member with a valid lease
 * @param storeReachable whether the key-value service answers
 * @param draining whether the process is shutting down
 * @param members the registered processes, as last read from the store
 * @param owners the owners of all partitions
 * @param racks the racks that the process owns
 * @param shards the shards that the process owns
 */
public record NodeStatus(
        ProcessId process,
        long configVersion,
        boolean registered,
        boolean storeReachable,
        boolean draining,
        List<Member> members,
        List<OwnershipEntry> owners,
        List<RackStatus> racks,
        List<ShardStatus> shards) {}
