package org.flamingopitch.scheduler.cell.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * A job as the caller submits it: steps of tasks, which run once or repeatedly at set times.
 *
 * @param payload the text that is passed to the workers unchanged
 * @param steps the steps, each after the steps that it depends on
 * @param repeatCount how often the steps run at set times, 0 to run them once and immediately
 * @param firstDueMillis when the first repetition is due, in milliseconds since the epoch
 * @param intervalMillis the time between the due times of repetitions
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record JobSpec(String payload, List<StepSpec> steps, int repeatCount, long firstDueMillis, long intervalMillis) {

    /** The maximum number of tasks of a job over all its repetitions. */
    public static final int MAX_TASKS = 10_000;

    /** The maximum estimated size of the stored job in bytes: a slow link must carry it within the time of a call. */
    private static final long MAX_BYTES = 250_000;

    /** The size of a stored step without its texts and predecessors, and of a stored predecessor. */
    private static final int STEP_BYTES = 450;

    private static final int PREDECESSOR_BYTES = 6;

    /** Names of images are also stored with what is learned of them, for many images in one record. */
    private static final int MAX_NAME_BYTES = 200;

    /**
     * Sets defaults for values that a stored record omits.
     */
    public JobSpec {
        payload = payload == null ? "" : payload;
        steps = steps == null ? List.of() : List.copyOf(steps);
    }

    /**
     * Returns how often the steps run.
     *
     * @return the number of occurrences, at least 1
     */
    public int occurrences() {
        return Math.max(1, repeatCount);
    }

    /**
     * Returns whether the steps run at set times.
     *
     * @return whether the job has due times instead of starting immediately
     */
    public boolean timed() {
        return repeatCount > 0;
    }

    /**
     * Returns whether the job is long-running, which means that it runs until it is cancelled.
     *
     * @return whether a step has long-running tasks
     */
    public boolean longRunning() {
        return steps.stream().anyMatch(StepSpec::lasting);
    }

    /**
     * Returns the estimated duration of the critical path: the longest chain of dependent steps.
     *
     * @return the duration in milliseconds
     */
    public long criticalPathMillis() {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < steps.size(); i++) {
            long start = 0;
            for (int predecessor : steps.get(i).after()) {
                start = Math.max(start, ends[predecessor]);
            }
            ends[i] = start + steps.get(i).estimateMillis();
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }

    /**
     * Returns the work of one occurrence by the caller's estimates: processor time times duration, over all tasks.
     *
     * @return the work in millicores times milliseconds, {@link Long#MAX_VALUE} at most; 0 for a long-running job without
     *     estimates
     */
    public long estimatedWork() {
        double work = 0;
        for (StepSpec step : steps) {
            work += (double) step.count()
                    * step.estimateMillis()
                    * step.demand().milliCores();
        }
        return (long) work;
    }

    /**
     * Returns the number of tasks over all occurrences.
     *
     * @return the number
     */
    public long taskCount() {
        return steps.stream().mapToLong(StepSpec::count).sum() * occurrences();
    }

    /**
     * Validates the steps, the number of tasks, the due times and the size.
     *
     * @return why the job can't run, or null if it is valid
     */
    public String validationError() {
        String error = structureError();
        return error != null ? error : sizeError();
    }

    /**
     * Validates the steps, the number of tasks and the due times, without which the job cannot be held in memory.
     *
     * @return why the job can't be held, or null if it can
     */
    public String structureError() {
        if (steps.isEmpty()) {
            return "steps must not be empty";
        }
        long tasks = 0;
        for (int i = 0; i < steps.size(); i++) {
            StepSpec step = steps.get(i);
            if (step.count() < 1) {
                return "steps[" + i + "].count must be at least 1";
            }
            for (int predecessor : step.after()) {
                if (predecessor < 0 || predecessor >= i) {
                    return "steps[" + i + "].after must name earlier steps, found " + predecessor;
                }
            }
            tasks += step.count();
        }
        // Divides since the product may overflow.
        if (tasks > MAX_TASKS / occurrences()) {
            return "more than " + MAX_TASKS + " tasks";
        }
        return dueTimesOverflow() ? "the last due time must have 64 bits" : null;
    }

    private boolean dueTimesOverflow() {
        try {
            Math.addExact(firstDueMillis, Math.multiplyExact(occurrences() - 1, intervalMillis));
            return false;
        } catch (ArithmeticException e) {
            return true;
        }
    }

    private String sizeError() {
        long bytes = byteCount(payload);
        for (int i = 0; i < steps.size(); i++) {
            StepSpec step = steps.get(i);
            for (String name : Arrays.asList(step.requiredLabel(), step.preferredRack(), step.image())) {
                long nameBytes = byteCount(name);
                if (nameBytes > MAX_NAME_BYTES) {
                    return "steps[" + i + "] has a name of " + nameBytes + " bytes, at most " + MAX_NAME_BYTES
                            + " are allowed";
                }
                bytes += nameBytes;
            }
            bytes += STEP_BYTES + (long) PREDECESSOR_BYTES * step.after().size();
        }
        return bytes > MAX_BYTES
                ? "the job has about " + bytes + " bytes, at most " + MAX_BYTES + " are allowed"
                : null;
    }

    private static long byteCount(String text) {
        return text == null ? 0 : text.getBytes(StandardCharsets.UTF_8).length;
    }
}
