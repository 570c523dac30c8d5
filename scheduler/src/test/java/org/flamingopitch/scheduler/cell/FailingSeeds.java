package org.flamingopitch.scheduler.cell;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongFunction;

/** Plays drawn sessions and collects the seeds that fail. */
final class FailingSeeds {

    private FailingSeeds() {}

    /** Plays the sessions of consecutive seeds, each of which returns its failures, and returns those that have any. */
    static Map<Long, Collection<String>> of(long first, int count, LongFunction<Collection<String>> play) {
        Map<Long, Collection<String>> failures = new TreeMap<>();
        for (long seed = first; seed < first + count; seed++) {
            Collection<String> found = play.apply(seed);
            if (!found.isEmpty()) {
                failures.put(seed, found);
            }
        }
        return failures;
    }
}
