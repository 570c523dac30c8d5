/** Tests of the command line. */
package org.flamingopitch.daemon.cli;
