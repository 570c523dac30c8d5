package org.flamingopitch.scheduler.node;

import java.nio.charset.StandardCharsets;
import java.util.SortedSet;
import java.util.TreeSet;
import org.apache.commons.codec.digest.MurmurHash3;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.once.IdempotencyKey;

/** Assigns idempotency keys to shards by hash. */
public final class ShardPartitioner {

    private static final String PREFIX = "shard-";

    private ShardPartitioner() {}

    /**
     * Returns the shard to which a key belongs.
     *
     * @param key the key
     * @param shards the number of shards
     * @return the shard
     */
    public static PartitionId shardOf(IdempotencyKey key, int shards) {
        byte[] bytes = key.value().getBytes(StandardCharsets.UTF_8);
        return shardName(Math.floorMod(MurmurHash3.hash32x86(bytes), shards));
    }

    /**
     * Returns the names of all shards.
     *
     * @param shards the number of shards
     * @return the names
     */
    public static SortedSet<PartitionId> allShards(int shards) {
        SortedSet<PartitionId> names = new TreeSet<>();
        for (int i = 0; i < shards; i++) {
            names.add(shardName(i));
        }
        return names;
    }

    private static PartitionId shardName(int number) {
        return new PartitionId(PREFIX + number);
    }
}
