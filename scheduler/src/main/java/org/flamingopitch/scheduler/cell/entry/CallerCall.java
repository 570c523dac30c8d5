package org.flamingopitch.scheduler.cell.entry;

import java.time.Duration;

/**
 * A caller's request for a job or a queue.
 *
 * @param verb the requested operation
 * @param host the host name in the request, which selects the queue together with the path
 * @param path the path of the request: the queue's prefix, followed by the job's id
 * @param patience how long the caller waits for the answer
 */
public record CallerCall(CallerVerb verb, String host, String path, Duration patience) {}
