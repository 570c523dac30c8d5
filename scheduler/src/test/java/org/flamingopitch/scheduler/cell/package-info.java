/** Tests of a whole cell with several hosts, against a simulated store and simulated workers. */
package org.flamingopitch.scheduler.cell;
