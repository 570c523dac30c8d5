/**
 * Delay scheduling: how long a task waits for a worker of its rack before it is placed on another rack. The classes
 * decide from plain values; {@code cell.owner} collects these and carries the decisions out.
 */
package org.flamingopitch.scheduler.cell.locality;
