package org.flamingopitch.scheduler.cell.model;

/**
 * Identifies a task within its job.
 *
 * @param job the job
 * @param occurrence the repetition of the job, from 0
 * @param step the step, from 0
 * @param index the task within the step, from 0
 */
public record TaskRef(JobId job, int occurrence, int step, int index) {

    private static final int PART_COUNT = 4;

    /**
     * Parses the text form of a reference.
     *
     * @param text job, occurrence, step and index, separated by dots
     * @return the reference
     * @throws IllegalArgumentException if the text is not a valid reference
     */
    public static TaskRef parse(String text) {
        String[] parts = text.split("\\.");
        if (parts.length != PART_COUNT) {
            throw new IllegalArgumentException(
                    "\"" + text + "\" is not a task reference of the form job.occurrence.step.index");
        }
        try {
            return new TaskRef(new JobId(parts[0]), parseIndex(parts[1]), parseIndex(parts[2]), parseIndex(parts[3]));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "\"" + text + "\" is not a task reference of the form job.occurrence.step.index", e);
        }
    }

    private static int parseIndex(String text) {
        int index = Integer.parseInt(text);
        if (index < 0) {
            throw new NumberFormatException("negative index " + text);
        }
        return index;
    }

    /**
     * Returns the text form of the step that the task belongs to.
     *
     * @return job, occurrence and step, separated by dots
     */
    public String stepText() {
        return job + "." + occurrence + "." + step;
    }

    @Override
    public String toString() {
        return stepText() + "." + index;
    }
}
