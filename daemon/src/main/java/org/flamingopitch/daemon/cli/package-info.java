/** The command line. */
package org.flamingopitch.daemon.cli;
