/** Tests of the decisions while the store is away. */
package org.flamingopitch.scheduler.cell.outage;
