/** Tests of the decisions about planned disruptions. */
package org.flamingopitch.scheduler.cell.disruption;
