/** Decisions on callers' requests while the platform's store is away; they need no network. */
package org.flamingopitch.scheduler.cell.outage;
