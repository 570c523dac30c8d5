package org.flamingopitch.scheduler.cell.entry;

import java.time.Duration;

/**
 * A caller's request for a job or a queue.
 *
 * @param operation the requested operation
 * @param host the host name in the request, which selects the queue together with the path
 * @param path the path of the request: the queue's prefix, followed by the job's id
 * @param timeout how long the caller waits for the answer
 */
public record CallerJobRequest(CallerOperation operation, String host, String path, Duration timeout) {}
