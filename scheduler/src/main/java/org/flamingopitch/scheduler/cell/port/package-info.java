/**
 * The interface through which a cell's owner sends orders to workers, reads their registrations from the store, and asks
 * the platform which of them run.
 */
package org.flamingopitch.scheduler.cell.port;
