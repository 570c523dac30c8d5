/** Routes calls to the owners of partitions, and retries them as long as that is safe. */
package org.flamingopitch.scheduler.route;
