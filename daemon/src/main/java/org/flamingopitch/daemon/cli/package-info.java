/** The command line: one class for each command, and the HTTP client of those that call an entry host. */
package org.flamingopitch.daemon.cli;
