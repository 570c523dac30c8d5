/** Tests of the offline analysis of logs. */
package org.flamingopitch.daemon.analysis;
