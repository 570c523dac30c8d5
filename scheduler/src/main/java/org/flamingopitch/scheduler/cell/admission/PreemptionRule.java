package org.flamingopitch.scheduler.cell.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.flamingopitch.scheduler.model.Resources;

/**
 * Decides whether a task that reserves processors preempts best-effort tasks, under a load where best-effort tasks hold
 * the memory of most workers and urgent tasks last less than a second. Preemption pays if the wait for the end of the
 * runs on the workers is longer than a stop takes, and if it discards less work than the task does.
 */
public final class PreemptionRule {

    /** The remaining time of a run whose end is not known. */
    public static final long NEVER = Long.MAX_VALUE;

    private PreemptionRule() {}

    /**
     * Returns what a task may expect of one worker.
     *
     * @param needed what the task reserves
     * @param free the free resources of the worker
     * @param occupants the runs there
     * @param <R> identifies a run
     * @return the time until the task fits, and what to preempt to make it fit
     */
    public static <R> Outlook<R> outlook(Resources needed, Resources free, List<Occupant<R>> occupants) {
        return new Outlook<>(waitMillis(needed, free, occupants), victims(needed, free, occupants));
    }

    private static <R> long waitMillis(Resources needed, Resources free, List<Occupant<R>> occupants) {
        if (needed.fitsInto(free)) {
            return 0;
        }
        List<Occupant<R>> byEnd = new ArrayList<>(occupants);
        byEnd.sort(Comparator.comparingLong(Occupant::remainingMillis));
        Resources available = free;
        for (Occupant<R> occupant : byEnd) {
            if (occupant.remainingMillis() == NEVER) {
                break;
            }
            available = available.plus(occupant.reserved());
            if (needed.fitsInto(available)) {
                return occupant.remainingMillis();
            }
        }
        return NEVER;
    }

    private static <R> List<Occupant<R>> victims(Resources needed, Resources free, List<Occupant<R>> occupants) {
        List<Occupant<R>> candidates = new ArrayList<>();
        for (Occupant<R> occupant : occupants) {
            if (occupant.preemptible()) {
                candidates.add(occupant);
            }
        }
        candidates.sort(Comparator.comparing((Occupant<R> occupant) -> !occupant.throttled())
                .thenComparingLong(Occupant::unsavedWork));
        List<Occupant<R>> victims = new ArrayList<>();
        Resources available = free;
        for (Occupant<R> candidate : candidates) {
            if (needed.fitsInto(available)) {
                break;
            }
            available = available.plus(candidate.reserved());
            victims.add(candidate);
        }
        return needed.fitsInto(available) ? victims : List.of();
    }

    /**
     * Returns whether a task should preempt the victims of a worker.
     *
     * @param waitMillis the shortest time until the task fits on any worker without preemption
     * @param stopMillis the longest time that a stop takes
     * @param taskWork the work of the task, in millicores times milliseconds
     * @param outlook what the task may expect of the worker
     * @return whether it should
     */
    public static boolean pays(long waitMillis, long stopMillis, long taskWork, Outlook<?> outlook) {
        return waitMillis > stopMillis && !outlook.victims().isEmpty() && outlook.discardedWork() < taskWork;
    }

    /**
     * Returns the time of work that the stop of a run discards, the time to resume included.
     *
     * @param workedMillis how long the run has worked, at full speed
     * @param checkpointing whether the task can resume from a checkpoint
     * @param checkpointMillis the work between two checkpoints; 0 if it is not known
     * @param restoreMillis the time to resume from a checkpoint
     * @return the time in milliseconds
     */
    public static long unsavedMillis(
            long workedMillis, boolean checkpointing, long checkpointMillis, long restoreMillis) {
        if (!checkpointing) {
            return workedMillis;
        }
        long sinceCheckpoint = checkpointMillis > 0 ? workedMillis % checkpointMillis : workedMillis;
        return sinceCheckpoint + restoreMillis;
    }

    /**
     * A run on a worker.
     *
     * @param run the run
     * @param reserved the resources that it reserves
     * @param remainingMillis the expected time until it ends, or {@link #NEVER}
     * @param preemptible whether its task is best-effort, of a lower priority, and can be stopped now
     * @param throttled whether it is paused or throttled
     * @param unsavedWork the work that a stop discards, in millicores times milliseconds
     * @param <R> identifies a run
     */
    public record Occupant<R>(
            R run,
            Resources reserved,
            long remainingMillis,
            boolean preemptible,
            boolean throttled,
            long unsavedWork) {}

    /**
     * What a task may expect of one worker.
     *
     * @param waitMillis the time until the task fits without preemption, or {@link #NEVER}
     * @param victims the runs to stop so that it fits; empty if it does not fit even then
     * @param <R> identifies a run
     */
    public record Outlook<R>(long waitMillis, List<Occupant<R>> victims) {

        /**
         * Returns the work that the stop of the victims discards.
         *
         * @return the work in millicores times milliseconds
         */
        public long discardedWork() {
            return victims.stream().mapToLong(Occupant::unsavedWork).sum();
        }
    }
}
