package org.flamingopitch.scheduler.cell.model;

import java.util.Set;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.WorkerId;

/**
 * The registration of a worker: its entry in the platform's store.
 *
 * @param name the worker's name
 * @param incarnation the worker's incarnation, identified by its start in milliseconds since the epoch
 * @param address its IP address and port
 * @param service the pool that it belongs to
 * @param dataCentre the data centre that it is in
 * @param draining whether it shuts down soon and takes no new tasks
 * @param remainingMillis the minimum time in milliseconds until a draining worker stops, 0 if unknown
 * @param warmUpRemainingMillis for how many more milliseconds it is slow because it has just started
 * @param capacity the resources that it has
 * @param labels its kind and its rack
 */
public record WorkerEntry(
        WorkerId name,
        long incarnation,
        String address,
        ServiceName service,
        String dataCentre,
        boolean draining,
        long remainingMillis,
        long warmUpRemainingMillis,
        Resources capacity,
        Set<String> labels) {}
