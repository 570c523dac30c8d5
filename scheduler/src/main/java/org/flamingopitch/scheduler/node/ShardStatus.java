package org.flamingopitch.scheduler.node;

import org.flamingopitch.coordination.api.PartitionId;

/**
 * The state of a shard at its owner.
 *
 * @param shard the shard
 * @param ready whether its journal was read back
 * @param journalHealthy whether records become durable quickly
 * @param keys the idempotency keys that it remembers
 * @param jobs the jobs that it keeps
 * @param openJobs the jobs that have not ended
 * @param journalWrites the journal's writes so far
 * @param journalRecords the durable records so far
 */
public record ShardStatus(
        PartitionId shard,
        boolean ready,
        boolean journalHealthy,
        int keys,
        int jobs,
        int openJobs,
        long journalWrites,
        long journalRecords) {}
