package org.flamingopitch.scheduler.shard;

import java.time.Instant;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.journal.Journal;
import org.flamingopitch.coordination.ownership.OwnershipGroup;
import org.flamingopitch.scheduler.node.NodeContext;
import org.flamingopitch.scheduler.node.NodeTimings;

/** State shared by the components of a shard's owner: the journal, the ownership and the hand-over state. */
final class ShardContext {

    private final NodeContext nodeContext;

    private final PartitionId shard;

    private final OwnershipGroup ownership;

    private final NodeTimings timings;

    private final ShardPort port;

    private final Instant gainedAt;

    private Journal<ShardRecord> journal;

    private boolean closed;

    private boolean handingOver;

    ShardContext(
            NodeContext nodeContext, PartitionId shard, OwnershipGroup ownership, NodeTimings timings, ShardPort port) {
        this.nodeContext = nodeContext;
        this.shard = shard;
        this.ownership = ownership;
        this.timings = timings;
        this.port = port;
        this.gainedAt = nodeContext.now();
    }

    NodeContext nodeContext() {
        return nodeContext;
    }

    PartitionId shard() {
        return shard;
    }

    NodeTimings timings() {
        return timings;
    }

    ShardPort port() {
        return port;
    }

    Instant gainedAt() {
        return gainedAt;
    }

    Instant now() {
        return nodeContext.now();
    }

    void setJournal(Journal<ShardRecord> newJournal) {
        journal = newJournal;
    }

    Journal<ShardRecord> journal() {
        return journal;
    }

    void append(ShardRecord record, Runnable whenDurable) {
        journal.append(record, whenDurable);
    }

    /**
     * Returns whether this process may act for the shard: it owns the shard, and its lease or its peers' promise not to
     * take over before a certain time is still valid.
     */
    boolean active() {
        return !closed && ownership.active(shard);
    }

    boolean closed() {
        return closed;
    }

    void close() {
        closed = true;
        journal.close();
    }

    boolean handingOver() {
        return handingOver;
    }

    void beginHandOver() {
        handingOver = true;
    }
}
