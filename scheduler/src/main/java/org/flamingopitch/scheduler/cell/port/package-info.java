/** What the owner of a cell asks of the store and of workers. */
package org.flamingopitch.scheduler.cell.port;
