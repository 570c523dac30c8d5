package org.flamingopitch.standins.worker;

/**
 * Identifies a task, which is one attempt to run a job.
 *
 * @param job the job
 * @param attempt the number of the attempt
 */
public record TaskKey(String job, int attempt) implements Comparable<TaskKey> {

    @Override
    public int compareTo(TaskKey other) {
        int byJob = job.compareTo(other.job);
        return byJob != 0 ? byJob : Integer.compare(attempt, other.attempt);
    }
}
