package org.flamingopitch.scheduler.cell.model;

import java.util.Set;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.WorkerId;

/**
 * What a worker has registered about itself.
 *
 * @param name the worker
 * @param life the start of this life of the worker, in milliseconds since 1970
 * @param address its address, IP number and port
 * @param service the pool it belongs to
 * @param dataCentre where it is
 * @param draining whether it takes no new work
 * @param remainingMillis how long a draining worker stays at least, 0 if it does not say so
 * @param coldMillis how much longer it stays slow after its start
 * @param capacity what it has
 * @param labels its kind and its rack
 */
public record WorkerEntry(
        WorkerId name,
        long life,
        String address,
        ServiceName service,
        String dataCentre,
        boolean draining,
        long remainingMillis,
        long coldMillis,
        Resources capacity,
        Set<String> labels) {}
