/** Decisions about planned disruptions: which workers get no new tasks, and when long-running tasks may be moved. */
package org.flamingopitch.scheduler.cell.disruption;
