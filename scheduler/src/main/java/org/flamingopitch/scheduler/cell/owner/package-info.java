/**
 * The owner of a cell (the set of workers that one owner schedules): accepts jobs, places their tasks on workers,
 * tracks their runs and commits the records that must survive a takeover.
 */
package org.flamingopitch.scheduler.cell.owner;
