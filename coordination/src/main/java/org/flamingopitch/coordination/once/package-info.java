/** At-most-once execution by idempotency keys: the table of known keys and the policies for keys that are not in it. */
package org.flamingopitch.coordination.once;
