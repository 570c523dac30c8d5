/** The deterministic core of an entry host: typed events in, typed effects out, no I/O and no clock of its own. */
package org.flamingopitch.scheduler.node;
