/** Leases that are checked against the process's own monotonic clock at the moment of each effect. */
package org.flamingopitch.coordination.lease;
