package org.flamingopitch.daemon.cli;

import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.coordination.ownership.OwnershipEntry;
import org.flamingopitch.scheduler.node.NodeStatus;
import org.flamingopitch.scheduler.node.RackStatus;
import org.flamingopitch.scheduler.node.ShardStatus;
import org.flamingopitch.scheduler.node.WorkerStatus;

/** Formats the state of an entry host for people. */
public final class StatusTable {

    private StatusTable() {}

    /**
     * Formats the state.
     *
     * @param status the state
     * @return lines of text
     */
    public static String format(NodeStatus status) {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                "process %s  configuration %d  registered %s  store %s%s%n",
                status.process(),
                status.configVersion(),
                status.registered() ? "yes" : "no",
                status.storeReachable() ? "reachable" : "out of reach",
                status.draining() ? "  draining" : ""));
        for (Member member : status.members()) {
            text.append(
                    String.format("member  %-32s %-12s %s%n", member.id(), member.dataCentre(), member.peerAddress()));
        }
        for (OwnershipEntry entry : status.owners()) {
            text.append(String.format("owner   %-32s %s epoch %d%n", entry.partition(), entry.owner(), entry.epoch()));
        }
        status.racks().forEach(rack -> appendRack(text, rack));
        status.shards().forEach(shard -> appendShard(text, shard));
        return text.toString();
    }

    private static void appendRack(StringBuilder text, RackStatus rack) {
        text.append(String.format(
                "rack    %-32s %s, %d waiting%n",
                rack.rack(), rack.active() ? "active" : "not active", rack.waiting()));
        for (WorkerStatus worker : rack.workers()) {
            text.append(String.format(
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

    private static void appendShard(StringBuilder text, ShardStatus shard) {
        text.append(String.format(
                "shard   %-32s %s, %d keys, %d jobs (%d open), %d journal writes%n",
                shard.shard(),
                shard.ready() ? "ready" : "recovering",
                shard.keys(),
                shard.jobs(),
                shard.openJobs(),
                shard.journalWrites()));
    }
}
