package org.flamingopitch.scheduler.cell.model;

import java.util.Objects;

/**
 * A queue in the configuration. A job of the queue should end within {@code stretch} times the estimated duration of
 * its critical path, plus {@code targetMillis}.
 *
 * @param name the queue's name
 * @param host the host name in the requests for this queue
 * @param prefix the beginning of the path in the requests for this queue
 * @param service the pool of workers that run the queue's tasks
 * @param priority the priority among queues; 0 is the highest
 * @param maxAttempts the number of failures of a task at which its job fails
 * @param stretch the factor on the estimated duration of a job's critical path
 * @param targetMillis the time that is added to the product, in milliseconds
 * @param timeoutMillis how long a caller's request may take, in milliseconds
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
        boolean advised) {

    /** Rejects a queue without a name, route or service. */
    public QueueSpec {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(service, "service");
    }
}
