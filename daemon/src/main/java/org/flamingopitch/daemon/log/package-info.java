/** Writes structured logs without ever holding up the process. */
package org.flamingopitch.daemon.log;
