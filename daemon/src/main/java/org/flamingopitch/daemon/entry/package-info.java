/** The entry host process: HTTP interfaces for callers and operators, and execution of the scheduler core's effects. */
package org.flamingopitch.daemon.entry;
