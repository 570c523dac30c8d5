package org.flamingopitch.scheduler.cell.locality;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.WorkerId;
import org.junit.jupiter.api.Test;

/** Predictions for a rack of workers that run tasks of one core. */
final class RackOutlookTest {

    private static final Resources CORE = new Resources(1_000, 10, 0);

    private static final Duration TASK_DURATION = Duration.ofMillis(800);

    private static final Duration LONG = Duration.ofSeconds(10);

    private static RackOutlook.WorkerCapacity worker(String name, long freeMilliCores, long... endMillis) {
        List<RackOutlook.Release> releases = new ArrayList<>();
        for (long millis : endMillis) {
            releases.add(new RackOutlook.Release(Duration.ofMillis(millis), CORE));
        }
        return new RackOutlook.WorkerCapacity(new WorkerId(name), new Resources(freeMilliCores, 1_000, 0), releases);
    }

    private static RackOutlook.Request request(int count, long milliCores, Duration longestWait) {
        return new RackOutlook.Request(
                count, new Resources(milliCores, 10, 0), TASK_DURATION, longestWait, Optional.empty());
    }

    private static RackOutlook.Request restricted(Predicate<WorkerId> permitted) {
        return new RackOutlook.Request(1, CORE, TASK_DURATION, LONG, Optional.of(permitted));
    }

    @Test
    void slotIsTheEarliestEndOfARun() {
        RackOutlook rack = new RackOutlook(List.of(worker("a", 0, 700, 300), worker("b", 0, 500)));
        assertThat(rack.bookAll(request(1, 1_000, LONG))).contains(Duration.ofMillis(300));
    }

    @Test
    void taskThatNeedsSeveralEndsWaitsForTheLastOfThem() {
        RackOutlook rack = new RackOutlook(List.of(worker("a", 0, 300, 700), worker("b", 0, 400)));
        assertThat(rack.bookAll(request(1, 2_000, LONG))).contains(Duration.ofMillis(700));
    }

    @Test
    void tasksThatComeLaterQueueBehindThoseThatWait() {
        RackOutlook rack = new RackOutlook(List.of(worker("a", 0, 300), worker("b", 0, 500)));
        assertThat(rack.bookAll(request(2, 1_000, LONG))).contains(Duration.ofMillis(500));
        assertThat(rack.bookAll(request(1, 1_000, LONG))).contains(Duration.ofMillis(1_100));
    }

    @Test
    void tasksThatDoNotAllFindASlotBookNone() {
        RackOutlook rack = new RackOutlook(List.of(worker("a", 0, 300), worker("b", 0, 500)));
        Duration limit = Duration.ofMillis(600);
        assertThat(rack.bookAll(request(3, 1_000, limit))).isEmpty();
        assertThat(rack.bookAll(request(2, 1_000, limit))).contains(Duration.ofMillis(500));
    }

    @Test
    void failedSearchDoesNotHideALongerWaitOrASmallerStep() {
        RackOutlook rack = new RackOutlook(List.of(worker("a", 0, 300)));
        assertThat(rack.bookAll(request(2, 1_000, Duration.ofMillis(400)))).isEmpty();
        assertThat(rack.bookAll(request(2, 1_000, Duration.ofMillis(500)))).isEmpty();
        assertThat(rack.bookAll(request(2, 1_000, LONG))).contains(Duration.ofMillis(1_100));
    }

    @Test
    void capacityBookedForLaterIsNotFreeBefore() {
        RackOutlook rack = new RackOutlook(List.of(worker("a", 0, 300, 400)));
        assertThat(rack.bookAll(request(1, 1_000, LONG))).contains(Duration.ofMillis(300));
        assertThat(rack.bookAll(request(1, 1_000, LONG))).contains(Duration.ofMillis(400));
    }

    @Test
    void placementInThePassTakesItsCapacity() {
        RackOutlook rack = new RackOutlook(List.of(worker("a", 1_000)));
        rack.recordPlacement(new WorkerId("a"), CORE, TASK_DURATION);
        assertThat(rack.bookAll(request(1, 1_000, LONG))).contains(TASK_DURATION);
    }

    @Test
    void onlyPermittedWorkersCount() {
        RackOutlook rack = new RackOutlook(List.of(worker("a", 0, 300), worker("b", 0, 500)));
        assertThat(rack.bookAll(restricted(id -> id.value().equals("b")))).contains(Duration.ofMillis(500));
        assertThat(rack.bookAll(restricted(id -> false))).isEmpty();
        assertThat(rack.bookAll(request(1, 1_000, LONG))).contains(Duration.ofMillis(300));
    }

    @Test
    void rackWithoutWorkersIsNotUsable() {
        assertThat(new RackOutlook(List.of()).usable()).isFalse();
        assertThat(new RackOutlook(List.of(worker("a", 0))).usable()).isTrue();
    }
}
