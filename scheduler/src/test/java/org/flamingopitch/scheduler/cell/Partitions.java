package org.flamingopitch.scheduler.cell;

import java.util.HashSet;
import java.util.Set;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.kv.KeyValueResult;

/** The hosts of a simulated cell whose calls to the store or to a worker get no answer and have no effect. */
public final class Partitions {

    private final Set<String> hostsWithoutStore = new HashSet<>();

    private final Set<Link> lostLinks = new HashSet<>();

    /**
     * Cuts a host off from the store.
     *
     * @param host its name
     */
    public void cutFromStore(String host) {
        hostsWithoutStore.add(host);
    }

    /**
     * Connects a host to the store again.
     *
     * @param host its name
     */
    public void reconnectToStore(String host) {
        hostsWithoutStore.remove(host);
    }

    /**
     * Cuts a host off from a worker.
     *
     * @param host the name of the host
     * @param worker the name of the worker
     */
    public void cutFromWorker(String host, String worker) {
        lostLinks.add(new Link(host, worker));
    }

    boolean reachesStore(String host) {
        return !hostsWithoutStore.contains(host);
    }

    boolean reachesWorker(String host, String worker) {
        return !lostLinks.contains(new Link(host, worker));
    }

    private record Link(String host, String worker) {}

    /** Returns the result of a call to the store whose connection was reset. */
    static KeyValueResult connectionReset() {
        return new KeyValueResult.Failed(new Failure("store", "fake", "connection reset"));
    }
}
