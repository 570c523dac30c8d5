package org.flamingopitch.standins.worker;

/**
 * Names a task.
 *
 * @param job the job
 * @param attempt the attempt
 */
public record TaskKey(String job, int attempt) implements Comparable<TaskKey> {

    @Override
    public int compareTo(TaskKey other) {
        int byJob = job.compareTo(other.job);
        return byJob != 0 ? byJob : Integer.compare(attempt, other.attempt);
    }
}
