package org.flamingopitch.daemon.cli;

import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.coordination.ownership.OwnershipEntry;
import org.flamingopitch.scheduler.node.NodeStatus;
import org.flamingopitch.scheduler.node.RackStatus;
import org.flamingopitch.scheduler.node.ShardStatus;
import org.flamingopitch.scheduler.node.WorkerStatus;

/** Formats the state of an entry host as lines of text for the terminal. */
public final class StatusTable {

    private StatusTable() {}

    /**
     * Formats the state: the process, then one line for each member, owner, rack, worker and shard.
     *
     * @param status the state of an entry host
     * @return the lines, each with a line separator
     */
    public static String format(NodeStatus status) {
        StringBuilder table = new StringBuilder();
        table.append(String.format(
                "process %s  configuration %d  registered %s  store %s%s%n",
                status.process(),
                status.configVersion(),
                status.registered() ? "yes" : "no",
                status.storeReachable() ? "reachable" : "out of reach",
                status.draining() ? "  draining" : ""));
        for (Member member : status.members()) {
            table.append(
                    String.format("member  %-32s %-12s %s%n", member.id(), member.dataCentre(), member.peerAddress()));
        }
        for (OwnershipEntry entry : status.owners()) {
            table.append(String.format("owner   %-32s %s epoch %d%n", entry.partition(), entry.owner(), entry.epoch()));
        }
        status.racks().forEach(rack -> appendRack(table, rack));
        status.shards().forEach(shard -> appendShard(table, shard));
        return table.toString();
    }

    private static void appendRack(StringBuilder table, RackStatus rack) {
        table.append(String.format(
                "rack    %-32s %s, %d waiting%n",
                rack.rack(), rack.active() ? "active" : "not active", rack.waiting()));
        for (WorkerStatus worker : rack.workers()) {
            table.append(String.format(
                    "worker  %-32s %s, %d requests and %d tasks in %d slots, %d millicores, %d MB, %d accelerators%n",
                    worker.worker(),
                    worker.why(),
                    worker.requests(),
                    worker.tasks(),
                    worker.slots(),
                    worker.reserved().milliCores(),
                    worker.reserved().memoryMegabytes(),
                    worker.reserved().accelerators()));
        }
    }

    private static void appendShard(StringBuilder table, ShardStatus shard) {
        table.append(String.format(
                "shard   %-32s %s, %d keys, %d jobs (%d open), %d journal writes%n",
                shard.shard(),
                shard.ready() ? "ready" : "recovering",
                shard.keys(),
                shard.jobs(),
                shard.openJobs(),
                shard.journalWrites()));
    }
}
