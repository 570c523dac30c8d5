package org.flamingopitch.coordination.ownership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.api.ProcessId;

/**
 * Rendezvous hashing: proposes an owner for each partition such that a change of members moves as few partitions as
 * possible.
 */
public final class RendezvousHash {

    private RendezvousHash() {}

    /**
     * Returns the candidate with the highest weight for a partition.
     *
     * @param partition the partition
     * @param candidates the processes that may own it
     * @return the proposed owner, or nothing without candidates
     */
    public static Optional<ProcessId> propose(PartitionId partition, Collection<ProcessId> candidates) {
        Comparator<ProcessId> byWeight = Comparator.comparingLong(candidate -> weight(partition, candidate));
        return candidates.stream().max(byWeight.thenComparing(Comparator.naturalOrder()));
    }

    private static long weight(PartitionId partition, ProcessId candidate) {
        String text = partition.value() + '\n' + candidate.value();
        return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
    }
}
