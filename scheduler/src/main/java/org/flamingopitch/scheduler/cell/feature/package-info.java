/** Switches single decision mechanisms off, to diagnose a deployment and to measure what a mechanism is worth. */
package org.flamingopitch.scheduler.cell.feature;
