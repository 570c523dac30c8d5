package org.flamingopitch.scheduler.cell.model;

/**
 * The end of a run, as its worker repeats it until it is acknowledged.
 *
 * @param number the worker's number of this end, from 1 in each life of the worker
 * @param task the task
 * @param run the number of the task's start
 * @param kind how it ended
 * @param checkpoint the last checkpoint, empty for none
 */
public record RunEnd(long number, TaskRef task, int run, EndKind kind, String checkpoint) {}
