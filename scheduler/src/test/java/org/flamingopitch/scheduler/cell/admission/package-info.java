/** Tests of the decisions on capacity that queues compete for. */
package org.flamingopitch.scheduler.cell.admission;
