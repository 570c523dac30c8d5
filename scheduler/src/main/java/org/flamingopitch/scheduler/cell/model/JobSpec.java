package org.flamingopitch.scheduler.cell.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * What a caller submits.
 *
 * @param payload the text that workers receive unchanged
 * @param steps the steps
 * @param repeatCount how often the steps run at set times, 0 for once and now
 * @param firstDueMillis when the first repetition is due, in milliseconds since 1970
 * @param intervalMillis the time between repetitions
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record JobSpec(String payload, List<StepSpec> steps, int repeatCount, long firstDueMillis, long intervalMillis) {

    /** The most tasks that one job may have. */
    public static final int MAX_TASKS = 10_000;

    /**
     * Fills in what a stored record leaves out.
     */
    public JobSpec {
        payload = payload == null ? "" : payload;
        steps = steps == null ? List.of() : steps;
    }

    /**
     * Returns how often the steps run.
     *
     * @return at least 1
     */
    public int occurrences() {
        return Math.max(1, repeatCount);
    }

    /**
     * Tells whether the job waits for set times.
     *
     * @return whether it does
     */
    public boolean timed() {
        return repeatCount > 0;
    }

    /**
     * Tells whether the job runs until it is cancelled.
     *
     * @return whether a step lasts
     */
    public boolean lasting() {
        return steps.stream().anyMatch(StepSpec::lasting);
    }

    /**
     * Estimates the longest chain of steps.
     *
     * @return its duration in milliseconds
     */
    public long longestChainMillis() {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < steps.size(); i++) {
            long start = 0;
            for (int before : steps.get(i).after()) {
                start = Math.max(start, ends[before]);
            }
            ends[i] = start + steps.get(i).estimateMillis();
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }

    /**
     * Finds what makes the job impossible to run.
     *
     * @return the error, or null if there is none
     */
    public String error() {
        if (steps.isEmpty()) {
            return "steps must not be empty";
        }
        long tasks = 0;
        for (int i = 0; i < steps.size(); i++) {
            StepSpec step = steps.get(i);
            if (step.count() < 1) {
                return "steps[" + i + "].count must be at least 1";
            }
            for (int before : step.after()) {
                if (before < 0 || before >= i) {
                    return "steps[" + i + "].after must name earlier steps, found " + before;
                }
            }
            tasks += step.count();
        }
        return tasks * occurrences() > MAX_TASKS ? "more than " + MAX_TASKS + " tasks" : null;
    }
}
