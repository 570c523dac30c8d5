/** Tests of the lease guard. */
package org.flamingopitch.coordination.lease;
