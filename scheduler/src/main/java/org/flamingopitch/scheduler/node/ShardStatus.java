package org.flamingopitch.scheduler.node;

import org.flamingopitch.coordination.api.PartitionId;

/**
 * The state of a shard, as its owner reports it.
 *
 * @param shard the shard
 * @param ready whether the owner has restored the state from the journal
 * @param journalHealthy whether the journal is ready and its writes succeed without delay
 * @param keys the number of idempotency keys in memory
 * @param jobs the number of jobs in memory, including ended ones
 * @param openJobs the number of jobs that have not ended
 * @param journalWrites the number of journal writes since the takeover
 * @param journalRecords the number of durable journal records since the takeover
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
