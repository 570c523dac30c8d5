package org.flamingopitch.scheduler.node;

import java.nio.charset.StandardCharsets;
import java.util.SortedSet;
import java.util.TreeSet;
import org.apache.commons.codec.digest.MurmurHash3;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.once.IdempotencyKey;

/** Names the shards and finds the one of a key. */
public final class ShardUtil {

    private static final String PREFIX = "shard-";

    private ShardUtil() {}

    /**
     * Finds the shard that keeps a key.
     *
     * @param key the key
     * @param shards the number of shards
     * @return the shard
     */
    public static PartitionId shardOf(IdempotencyKey key, int shards) {
        byte[] bytes = key.value().getBytes(StandardCharsets.UTF_8);
        return name(Math.floorMod(MurmurHash3.hash32x86(bytes), shards));
    }

    /**
     * Names all shards.
     *
     * @param shards the number of shards
     * @return the names
     */
    public static SortedSet<PartitionId> all(int shards) {
        SortedSet<PartitionId> names = new TreeSet<>();
        for (int i = 0; i < shards; i++) {
            names.add(name(i));
        }
        return names;
    }

    private static PartitionId name(int number) {
        return new PartitionId(PREFIX + number);
    }
}
