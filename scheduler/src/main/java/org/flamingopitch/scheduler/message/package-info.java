/** The messages between the system's own processes. */
package org.flamingopitch.scheduler.message;
