/** Tests of the structured logs. */
package org.flamingopitch.daemon.log;
