package org.flamingopitch.scheduler.cell.model;

import java.util.List;
import java.util.Optional;

/**
 * The configuration of a cell.
 *
 * @param version the configuration's version; a newer configuration has a higher version
 * @param queues the queues
 * @param maxBodyBytes the maximum size of a submission's body
 */
public record CellConfiguration(long version, List<QueueSpec> queues, int maxBodyBytes) {

    /**
     * Finds the queue for a request by its host name and path.
     *
     * @param host the host name in the request
     * @param path the path of the request
     * @return the matching queue with the longest prefix, or empty if none matches
     */
    public Optional<QueueSpec> route(String host, String path) {
        QueueSpec longestMatch = null;
        for (QueueSpec queue : queues) {
            boolean matches = queue.host().equalsIgnoreCase(host) && path.startsWith(queue.prefix());
            if (matches
                    && (longestMatch == null
                            || queue.prefix().length() > longestMatch.prefix().length())) {
                longestMatch = queue;
            }
        }
        return Optional.ofNullable(longestMatch);
    }

    /**
     * Finds a queue by its name.
     *
     * @param name the name
     * @return the queue, or empty if it is not configured
     */
    public Optional<QueueSpec> queue(QueueName name) {
        return queues.stream().filter(queue -> queue.name().equals(name)).findFirst();
    }
}
