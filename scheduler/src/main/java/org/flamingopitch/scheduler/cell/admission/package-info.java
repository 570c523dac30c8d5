/**
 * The decisions on capacity that queues compete for: which jobs are admitted, and when the others should be submitted
 * again. The classes take plain values and make no calls.
 */
package org.flamingopitch.scheduler.cell.admission;
