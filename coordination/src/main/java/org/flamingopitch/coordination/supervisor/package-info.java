/** Services with start and stop, and supervisors that restart or escalate. */
package org.flamingopitch.coordination.supervisor;
