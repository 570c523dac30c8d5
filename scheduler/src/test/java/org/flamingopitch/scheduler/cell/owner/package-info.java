/** Tests of the decisions of a cell's owner. */
package org.flamingopitch.scheduler.cell.owner;
