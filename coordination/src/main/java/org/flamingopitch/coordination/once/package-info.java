/** At-most-once execution by idempotency key: the table of seen keys and the decision on a key that is new. */
package org.flamingopitch.coordination.once;
