package org.flamingopitch.coordination.ownership;

import java.util.SortedSet;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.membership.Member;

/** Says which partitions a group has and which members may own them. */
public interface OwnershipScope {

    /**
     * Returns the partitions that need an owner.
     *
     * @return the partitions
     */
    SortedSet<PartitionId> partitions();

    /**
     * Tells whether a member may own partitions of this group.
     *
     * @param member the member
     * @return whether it is eligible
     */
    boolean eligible(Member member);
}
