/** Tests of the decisions about copies of tasks. */
package org.flamingopitch.scheduler.cell.speculation;
