package org.flamingopitch.scheduler.cell.disruption;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToLongFunction;

/**
 * The data centres under evacuation: their workers get no new tasks. Handles the load of an operator who evacuates
 * several data centres at once, repeats requests, withdraws them early, and names data centres without a worker; each
 * change takes effect in the next placement pass.
 */
public final class Evacuations {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private Set<String> dataCentres = Set.of();

    private boolean known;

    /** The data centres whose evacuation was logged as started. */
    private final Set<String> started = new HashSet<>();

    /** The data centres whose evacuation was logged while no worker was known there. */
    private final Set<String> withoutWorkers = new HashSet<>();

    /**
     * Replaces the set of data centres under evacuation, and logs the evacuations that have ended.
     *
     * @param next the names of all data centres under evacuation
     * @return whether anything has changed
     */
    public boolean update(Set<String> next) {
        if (known && next.equals(dataCentres)) {
            return false;
        }
        for (String former : new TreeSet<>(dataCentres)) {
            boolean logged = started.contains(former) || withoutWorkers.contains(former);
            if (!next.contains(former) && logged) {
                LOGGER.atInfo().log("event=evacuation_ended data_centre=%s", former);
            }
        }
        started.retainAll(next);
        withoutWorkers.retainAll(next);
        dataCentres = Set.copyOf(next);
        known = true;
        return true;
    }

    /**
     * Logs the evacuations that have not been logged as started.
     *
     * @param workerCount returns the number of known workers of a data centre
     */
    public void logStarted(ToLongFunction<String> workerCount) {
        if (started.size() == dataCentres.size()) {
            return;
        }
        for (String dataCentre : new TreeSet<>(dataCentres)) {
            if (started.contains(dataCentre)) {
                continue;
            }
            long workers = workerCount.applyAsLong(dataCentre);
            if (workers > 0) {
                started.add(dataCentre);
                withoutWorkers.remove(dataCentre);
                LOGGER.atInfo().log("event=evacuation_started data_centre=%s workers=%d", dataCentre, workers);
            } else if (withoutWorkers.add(dataCentre)) {
                LOGGER.atWarning().log("event=evacuation_unknown data_centre=%s", dataCentre);
            }
        }
    }

    /**
     * Returns whether the evacuations are known; before, every data centre may be under evacuation.
     *
     * @return whether {@link #update} has been called
     */
    public boolean known() {
        return known;
    }

    /**
     * Returns whether a data centre is under evacuation.
     *
     * @param dataCentre its name
     * @return whether its workers get no new tasks
     */
    public boolean covers(String dataCentre) {
        return dataCentres.contains(dataCentre);
    }
}
