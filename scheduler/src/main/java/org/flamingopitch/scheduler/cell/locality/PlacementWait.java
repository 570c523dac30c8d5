package org.flamingopitch.scheduler.cell.locality;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides how long a wait for a better worker pays, under a load of short tasks of which many prefer the same rack. A
 * wait pays if the task then ends earlier than on another rack, with a margin for wrong predictions. The total wait is
 * limited by what a far placement costs.
 */
public final class PlacementWait implements WaitRule {

    /**
     * Share of the longest wait up to which an expected wait is relied on. Durations vary and tasks that come later may be
     * placed first; a wait that fails costs its time and the far placement.
     */
    private static final double RELIABLE_SHARE = 0.5;

    @Override
    public PlacementDecision decide(WaitSituation situation, Instant now) {
        if (situation.nearFree()) {
            return new PlacementDecision.PlaceNear();
        }
        Duration longestWait = situation.longestWait();
        boolean canWait = situation.rackUsable() && situation.expectedWait().isPresent() && isPositive(longestWait);
        if (!canWait) {
            return new PlacementDecision.PlaceFar();
        }
        Duration expectedWait = situation.expectedWait().get();
        boolean reliable = multiply(expectedWait, 1 / RELIABLE_SHARE).compareTo(longestWait) < 0;
        return reliable && pays(situation, expectedWait)
                ? new PlacementDecision.WaitForRack(now.plus(expectedWait))
                : new PlacementDecision.PlaceFar();
    }

    private static boolean pays(WaitSituation situation, Duration expectedWait) {
        Duration nearEnd = expectedWait.plus(situation.duration());
        Duration farEnd = situation.farDuration();
        boolean nearInTime = nearEnd.compareTo(situation.untilObjective()) <= 0;
        boolean farInTime = farEnd.compareTo(situation.untilObjective()) <= 0;
        if (nearInTime != farInTime) {
            return nearInTime;
        }
        boolean endsEarlier = nearEnd.compareTo(farEnd) < 0;
        boolean delaysNobody =
                farEnd.compareTo(situation.siblingsEnd()) < 0 && nearEnd.compareTo(situation.siblingsEnd()) <= 0;
        return endsEarlier || delaysNobody;
    }

    private static Duration multiply(Duration time, double factor) {
        return Duration.ofMillis(Math.round(time.toMillis() * factor));
    }

    private static boolean isPositive(Duration time) {
        return !time.isNegative() && !time.isZero();
    }
}
