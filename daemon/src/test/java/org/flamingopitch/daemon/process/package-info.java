/** Tests with real processes. */
package org.flamingopitch.daemon.process;
