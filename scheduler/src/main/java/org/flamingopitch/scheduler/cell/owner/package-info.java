/** The owner of a cell: accepts jobs, places their tasks, follows their runs and records what must last. */
package org.flamingopitch.scheduler.cell.owner;
