/** The owner of a shard: its idempotency keys and jobs, recorded in a journal. */
package org.flamingopitch.scheduler.shard;
