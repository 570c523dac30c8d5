package org.flamingopitch.scheduler.cell.locality;

import java.time.Duration;
import java.util.Optional;

/**
 * What is known about the waiting tasks of a step that prefer a rack, while other racks have free capacity for them. The
 * tasks are equal and are decided together: the step ends with its last task, so that a wait of some gains nothing if
 * others run far. All times are relative to the present.
 *
 * @param nearFree whether a worker of the rack has free capacity for a task
 * @param rackUsable whether the rack has a usable worker
 * @param expectedWait the time until the rack is expected to have had capacity for each of the tasks; empty if that
 *     takes longer than {@link #longestWait()}
 * @param duration the expected duration of the task in its rack
 * @param farFactor the factor on the duration on other racks
 * @param waited how long the first of the tasks has been left waiting for the rack
 * @param untilObjective the time until the task must end so that its job meets its objective; negative if it cannot
 * @param siblingsEnd the time until the last running task of the step is expected to end, zero if none runs
 */
public record WaitSituation(
        boolean nearFree,
        boolean rackUsable,
        Optional<Duration> expectedWait,
        Duration duration,
        double farFactor,
        Duration waited,
        Duration untilObjective,
        Duration siblingsEnd) {

    /**
     * Returns the duration of the task on another rack.
     *
     * @return the duration
     */
    public Duration farDuration() {
        return multiply(duration, farFactor);
    }

    /**
     * Returns how much longer the task may be left waiting.
     *
     * @return the time, zero or negative if it may not wait any longer
     */
    public Duration longestWait() {
        return longestWait(duration, farFactor, waited, siblingsEnd);
    }

    /**
     * Returns how much longer a task may be left waiting: in total what a far placement costs it, or for as long as a
     * far placement would afterwards still end before the running tasks of the step.
     *
     * @param duration the expected duration of the task in its rack
     * @param farFactor the factor on the duration on other racks
     * @param waited how long the task has been left waiting
     * @param siblingsEnd the time until the last running task of the step is expected to end
     * @return the time, zero or negative if the task may not wait any longer
     */
    public static Duration longestWait(Duration duration, double farFactor, Duration waited, Duration siblingsEnd) {
        Duration untilCostReached = multiply(duration, farFactor - 1).minus(waited);
        Duration untilSiblingsDelayed = siblingsEnd.minus(multiply(duration, farFactor));
        return untilCostReached.compareTo(untilSiblingsDelayed) > 0 ? untilCostReached : untilSiblingsDelayed;
    }

    private static Duration multiply(Duration time, double factor) {
        return Duration.ofMillis(Math.round(time.toMillis() * factor));
    }
}
