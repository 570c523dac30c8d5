/** Structured logging that never blocks the thread that logs. */
package org.flamingopitch.daemon.log;
