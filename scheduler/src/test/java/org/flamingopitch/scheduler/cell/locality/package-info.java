/** Tests of the decisions of delay scheduling. */
package org.flamingopitch.scheduler.cell.locality;
