package org.flamingopitch.coordination.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.api.ProcessId;

/** When a process leaves, only its own partitions get another owner. */
final class RendezvousHashTest {

    @Property(seed = "20260105")
    void movesOnlyThePartitionsOfTheProcessThatLeaves(
            @ForAll @IntRange(min = 2, max = 12) int processes, @ForAll @IntRange(max = 11) int leavingIndex) {
        List<ProcessId> before = new ArrayList<>();
        for (int i = 0; i < processes; i++) {
            before.add(new ProcessId("process-" + i));
        }
        ProcessId leaving = before.get(leavingIndex % processes);
        List<ProcessId> after = new ArrayList<>(before);
        after.remove(leaving);
        for (int i = 0; i < 100; i++) {
            PartitionId partition = new PartitionId("rack-" + i);
            ProcessId owner = RendezvousHash.propose(partition, before).orElseThrow();
            if (!owner.equals(leaving)) {
                assertThat(RendezvousHash.propose(partition, after)).contains(owner);
            }
        }
    }
}
