/** The owner's side of a shard: idempotency keys and jobs, kept in a journal. */
package org.flamingopitch.scheduler.shard;
