/** The interface through which a cell's owner sends orders to workers and reads their registrations from the store. */
package org.flamingopitch.scheduler.cell.port;
