package org.flamingopitch.scheduler.cell.locality;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The racks of workers and of groups of tasks. */
final class RacksTest {

    @Test
    void rackIsTheLabelThatFewerWorkersHave() {
        Racks racks = new Racks(
                List.of(Set.of("a", "r1"), Set.of("a", "r1"), Set.of("a", "r2"), Set.of("b", "r2"), Set.of("b", "r3")));
        assertThat(racks.rackOf(Set.of("a", "r1"))).isEqualTo("r1");
        assertThat(racks.rackOf(Set.of("a", "r2"))).isEqualTo("r2");
        assertThat(racks.rackOf(Set.of("b", "r3"))).isEqualTo("r3");
        assertThat(racks.rackOf(Set.of())).isEmpty();
    }

    @Test
    void workersOfDifferentKindsInOneRackHaveTheSameRack() {
        Racks racks = new Racks(List.of(
                Set.of("a", "r1"),
                Set.of("b", "r1"),
                Set.of("a", "r2"),
                Set.of("b", "r2"),
                Set.of("a", "r3"),
                Set.of("b", "r3")));
        assertThat(racks.rackOf(Set.of("b", "r1"))).isEqualTo(racks.rackOf(Set.of("a", "r1")));
    }

    @Test
    void groupGetsTheRackWithTheMostFreeSlots() {
        assertThat(GroupRack.choose(Map.of("r1", 2L, "r2", 5L, "r3", 5L))).contains(new GroupRack("r2", false));
        assertThat(GroupRack.choose(Map.of("r1", 0L))).isEmpty();
    }

    @Test
    void groupThatRanOnAnotherRackStaysSpread() {
        GroupRack spread = new GroupRack("r1", false).afterPlacement("r1").afterPlacement("r2");
        assertThat(spread.afterPlacement("r1")).isEqualTo(new GroupRack("r1", true));
    }
}
