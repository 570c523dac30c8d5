package org.flamingopitch.scheduler.cell.model;

/**
 * A run that a worker has.
 *
 * @param task the task
 * @param run the number of the task's start
 * @param checkpoint the last checkpoint, empty for none
 * @param percent how much of it is done; 100 for a lasting task that is at work
 * @param figure for a serving task the tail of its response times in milliseconds, else the processor time in use in
 *     thousandths of a core; negative if it is not known
 */
public record RunReport(TaskRef task, int run, String checkpoint, double percent, double figure) {}
