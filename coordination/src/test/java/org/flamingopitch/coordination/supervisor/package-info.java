/** Tests of the supervisor. */
package org.flamingopitch.coordination.supervisor;
