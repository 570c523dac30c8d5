package org.flamingopitch.scheduler.cell.model;

/**
 * The progress of a run, as its worker reports it.
 *
 * @param task the task
 * @param run the number of the run
 * @param checkpoint the task's last checkpoint, empty if there is none
 * @param percent how much of the task is done; 100 for a long-running task that is working
 * @param measurement for a latency-critical task its tail response time in milliseconds, for other tasks the
 *     processor time in use in thousandths of a core; negative if unknown
 */
public record RunReport(TaskRef task, int run, String checkpoint, double percent, double measurement) {}
