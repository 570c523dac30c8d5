package org.flamingopitch.scheduler.cell.disruption;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether the scheduler may stop a long-running task that is at work in order to move it. Handles the load of
 * workers that drain and data centres that are evacuated while tasks of the same steps are down for other causes. A
 * task that is down counts from the first moment and whatever the cause, although the platform counts it later: if the
 * scheduler took down another one in the meantime, both would be counted.
 */
public final class DisruptionBudget {

    /**
     * On a draining worker, tasks are stopped beyond the budget if less than this is left: a stop and a start elsewhere
     * take less, and the tasks end with the worker anyway.
     */
    private static final Duration MIN_REMAINING_TIME = Duration.ofMillis(1_500);

    /** How long the budget holds on a draining worker whose remaining time is unknown. */
    private static final Duration UNKNOWN_DRAIN_PATIENCE = Duration.ofSeconds(2);

    /**
     * Returns whether the scheduler may now stop a long-running task of a step that is at work.
     *
     * @param step how many tasks of the step are at work
     * @return whether fewer tasks are unavailable than the step permits; no while recorded runs have not been reported
     *     since a takeover; always if the step has no limit
     */
    public boolean permits(StepAvailability step) {
        if (step.maxUnavailable() == 0) {
            return true;
        }
        return step.unreported() == 0 && step.unavailable() < step.maxUnavailable();
    }

    /**
     * Returns whether the tasks on a draining worker end with it so soon that a stop takes nothing from them; the
     * platform does not count such stops.
     *
     * @param remainingTime the time until the worker stops, negative if it is over, or empty if it is unknown
     * @param drainingFor how long the worker has been draining
     * @return whether its tasks may be stopped beyond the budget
     */
    public boolean endsSoon(Optional<Duration> remainingTime, Duration drainingFor) {
        return remainingTime
                .map(time -> time.compareTo(MIN_REMAINING_TIME) < 0)
                .orElse(drainingFor.compareTo(UNKNOWN_DRAIN_PATIENCE) >= 0);
    }
}
