package org.flamingopitch.scheduler.node;

import java.util.List;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.coordination.ownership.OwnershipEntry;

/**
 * The state of an entry host.
 *
 * @param process the process
 * @param configVersion the configuration in force
 * @param registered whether it holds a lease
 * @param storeReachable whether the key-value service answers
 * @param draining whether it shuts down
 * @param members the members that it sees
 * @param owners the owners of all partitions
 * @param racks the racks that it owns
 * @param shards the shards that it owns
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
