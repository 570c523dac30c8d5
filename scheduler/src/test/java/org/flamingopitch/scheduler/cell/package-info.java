/** Sessions of a whole cell with fakes of its hosts, workers and store. */
package org.flamingopitch.scheduler.cell;
