/** Limits on rates and retries: token buckets and retry budgets. */
package org.flamingopitch.coordination.limit;
