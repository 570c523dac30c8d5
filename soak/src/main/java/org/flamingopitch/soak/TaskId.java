package org.flamingopitch.soak;

/**
 * The name of a task: its job, occurrence, step and index.
 *
 * @param text the four parts, separated by dots
 */
record TaskId(String text) {

    private static final int PARTS = 4;

    static TaskId of(JobId job, int step, int index) {
        return new TaskId(job.text() + ".0." + step + "." + index);
    }

    boolean valid() {
        return text.matches("[0-9a-f]{16}\\.0\\.\\d{1,4}\\.\\d{1,4}");
    }

    JobId job() {
        return new JobId(text.substring(0, text.indexOf('.')));
    }

    int step() {
        return Integer.parseInt(text.split("\\.", PARTS)[2]);
    }

    int index() {
        return Integer.parseInt(text.split("\\.", PARTS)[PARTS - 1]);
    }
}
