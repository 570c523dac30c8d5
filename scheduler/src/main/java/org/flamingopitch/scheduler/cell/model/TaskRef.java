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

    private static final int PARTS = 4;

    /**
     * Parses the text form.
     *
     * @param text job, occurrence, step and index, separated by dots
     * @return the reference
     * @throws IllegalArgumentException if the text is none
     */
    public static TaskRef parse(String text) {
        String[] parts = text.split("\\.");
        if (parts.length != PARTS) {
            throw new IllegalArgumentException("\"" + text + "\" is no task reference");
        }
        try {
            return new TaskRef(
                    new JobId(parts[0]),
                    Integer.parseInt(parts[1]),
                    Integer.parseInt(parts[2]),
                    Integer.parseInt(parts[3]));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("\"" + text + "\" is no task reference", e);
        }
    }

    /**
     * Names the step that the task belongs to.
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
