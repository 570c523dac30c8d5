/**
 * The decisions on capacity that queues compete for: which jobs are admitted, when the others should be submitted again,
 * which classes of jobs are preferred, and which best-effort tasks are stopped for others. The classes take plain values
 * and make no calls.
 */
package org.flamingopitch.scheduler.cell.admission;
