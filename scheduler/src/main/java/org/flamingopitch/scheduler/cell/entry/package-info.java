/** The way of a caller's request from any host to the owner of the cell. */
package org.flamingopitch.scheduler.cell.entry;
