package org.flamingopitch.scheduler.cell.model;

/**
 * The end of a run. Its worker reports it repeatedly until the cell's owner has acknowledged it.
 *
 * @param sequenceNumber the sequence number of this end, counted from 1 in each incarnation of the worker
 * @param task the task
 * @param run the number of the run
 * @param kind how the run ended
 * @param checkpoint the task's last checkpoint, empty if there is none
 */
public record RunEnd(long sequenceNumber, TaskRef task, int run, EndKind kind, String checkpoint) {}
