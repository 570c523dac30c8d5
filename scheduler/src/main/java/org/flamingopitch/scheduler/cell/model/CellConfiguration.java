package org.flamingopitch.scheduler.cell.model;

import java.util.List;
import java.util.Optional;

/**
 * The queues in force.
 *
 * @param version the configuration's version; rises
 * @param queues the queues
 * @param maxBodyBytes the largest body of a submission
 */
public record CellConfiguration(long version, List<QueueSpec> queues, int maxBodyBytes) {

    /**
     * Finds the queue for a request.
     *
     * @param host the host name that the caller asked for
     * @param path the path
     * @return the queue with the longest prefix, if one matches
     */
    public Optional<QueueSpec> route(String host, String path) {
        QueueSpec best = null;
        for (QueueSpec queue : queues) {
            boolean matches = queue.host().equalsIgnoreCase(host) && path.startsWith(queue.prefix());
            if (matches
                    && (best == null || queue.prefix().length() > best.prefix().length())) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Finds a queue by its name.
     *
     * @param name the name
     * @return the queue, if it is configured
     */
    public Optional<QueueSpec> queue(QueueName name) {
        return queues.stream().filter(queue -> queue.name().equals(name)).findFirst();
    }
}
