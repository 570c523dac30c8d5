package org.flamingopitch.scheduler.shard;

import java.time.Instant;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.journal.Journal;
import org.flamingopitch.coordination.ownership.OwnershipGroup;
import org.flamingopitch.scheduler.node.NodeContext;
import org.flamingopitch.scheduler.node.NodeTimings;

/** What the parts of a shard's owner share. */
final class ShardScope {

    private final NodeContext context;

    private final PartitionId shard;

    private final OwnershipGroup ownership;

    private final NodeTimings timings;

    private final ShardPort port;

    private final Instant gainedAt;

    private Journal<ShardRecord> journal;

    private boolean closed;

    private boolean handingOver;

    ShardScope(NodeContext context, PartitionId shard, OwnershipGroup ownership, NodeTimings timings, ShardPort port) {
        this.context = context;
        this.shard = shard;
        this.ownership = ownership;
        this.timings = timings;
        this.port = port;
        this.gainedAt = context.now();
    }

    NodeContext context() {
        return context;
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
        return context.now();
    }

    void journal(Journal<ShardRecord> newJournal) {
        journal = newJournal;
    }

    Journal<ShardRecord> journal() {
        return journal;
    }

    void append(ShardRecord record, Runnable whenDurable) {
        journal.append(record, whenDurable);
    }

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
