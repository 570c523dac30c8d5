/** Services that are started and stopped, and supervisors that restart failed ones. */
package org.flamingopitch.coordination.supervisor;
