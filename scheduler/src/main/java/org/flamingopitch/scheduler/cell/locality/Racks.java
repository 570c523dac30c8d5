package org.flamingopitch.scheduler.cell.locality;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Finds the rack among the labels of a worker, which has its kind and its rack as labels: the rack is the label by which
 * workers of a kind differ, that is the one that fewer workers have.
 */
public final class Racks {

    private final Map<String, Integer> workerCounts = new HashMap<>();

    /**
     * Counts the labels.
     *
     * @param workerLabels the labels of each registered worker
     */
    public Racks(Collection<Set<String>> workerLabels) {
        for (Set<String> labels : workerLabels) {
            labels.forEach(label -> workerCounts.merge(label, 1, Integer::sum));
        }
    }

    /**
     * Returns the rack of a worker.
     *
     * @param labels the worker's labels
     * @return the label of its rack, the last by name if several are equally frequent; empty without labels
     */
    public String rackOf(Set<String> labels) {
        return labels.stream()
                .min(Comparator.comparingInt((String label) -> workerCounts.getOrDefault(label, 0))
                        .thenComparing(Comparator.reverseOrder()))
                .orElse("");
    }
}
