package org.flamingopitch.coordination.ownership;

import java.util.SortedSet;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.membership.Member;

/** Defines the partitions of a group and the members that may own them. */
public interface OwnershipScope {

    /**
     * Returns the partitions that need an owner.
     *
     * @return the partitions
     */
    SortedSet<PartitionId> partitions();

    /**
     * Returns whether a member may own partitions of this group.
     *
     * @param member the member
     * @return whether the member is eligible
     */
    boolean eligible(Member member);
}
