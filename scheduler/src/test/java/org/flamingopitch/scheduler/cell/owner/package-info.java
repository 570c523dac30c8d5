/** Tests of the owner of a cell: admission, job order, placement, interference and stored statistics. */
package org.flamingopitch.scheduler.cell.owner;
