package org.flamingopitch.scheduler.cell.model;

/**
 * A queue of the configuration.
 *
 * @param name the queue
 * @param host the host name that callers ask for
 * @param prefix the beginning of the path
 * @param service the workers that run its tasks
 * @param priority the order among queues, 0 first
 * @param maxAttempts how often a task may fail
 * @param stretch how many times its longest chain a job may take
 * @param targetMillis what a job may take beyond that
 * @param timeoutMillis how long a caller's request may take
 * @param advised whether a policy service chooses the workers
 */
public record QueueSpec(
        QueueName name,
        String host,
        String prefix,
        ServiceName service,
        int priority,
        int maxAttempts,
        double stretch,
        long targetMillis,
        long timeoutMillis,
        boolean advised) {}
