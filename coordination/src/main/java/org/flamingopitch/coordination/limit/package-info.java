/** Limits: token buckets, retry budgets and backoff. */
package org.flamingopitch.coordination.limit;
