/** The deterministic core of an entry host: turns typed events into typed effects, without I/O and without a clock. */
package org.flamingopitch.scheduler.node;
