package org.flamingopitch.scheduler.cell.entry;

import java.time.Duration;

/**
 * A request of a caller.
 *
 * @param verb what the caller wants
 * @param host the host name that it asked for
 * @param path the path, which names the queue and the job
 * @param patience how long it waits for the answer
 */
public record CallerCall(CallerVerb verb, String host, String path, Duration patience) {}
