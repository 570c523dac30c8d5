package org.flamingopitch.scheduler.cell;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.scheduler.cell.port.WorkerOrder;

/**
 * The hosts of a simulated cell whose calls to the store or to a worker get no answer and have no effect, and how long the
 * answers of workers take.
 */
public final class Partitions {

    private static final String RECORD_PREFIX = "flamingopitch/job/";

    private final Set<String> hostsWithoutStore = new HashSet<>();

    private final Set<String> hostsWithoutRecords = new HashSet<>();

    private final Set<Link> lostLinks = new HashSet<>();

    private final Map<String, Duration> reportLatencies = new HashMap<>();

    private Duration startAnswerLatency = CellSession.CALL_LATENCY;

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

    /**
     * Lets the calls of a host that list the records of jobs get no answer, as those of a host with a slow link.
     *
     * @param host its name
     */
    public void loseRecordLists(String host) {
        hostsWithoutRecords.add(host);
    }

    /** Lets the calls of a host that list the records of jobs be answered again. */
    void answerRecordLists(String host) {
        hostsWithoutRecords.remove(host);
    }

    boolean reachesStore(String host, KeyValueRequest request) {
        boolean listsRecords = request instanceof KeyValueRequest.ListPage page
                && page.prefix().startsWith(RECORD_PREFIX);
        return !hostsWithoutStore.contains(host) && !(listsRecords && hostsWithoutRecords.contains(host));
    }

    boolean reachesWorker(String host, String worker) {
        return !lostLinks.contains(new Link(host, worker));
    }

    /** Sets how long the reports of a worker take. */
    void setReportLatency(String worker, Duration latency) {
        reportLatencies.put(worker, latency);
    }

    /** Sets how long the answers of workers to starts take; reports may then show a run before. */
    void setStartAnswerLatency(Duration latency) {
        startAnswerLatency = latency;
    }

    Duration answerLatency(String worker, WorkerOrder order) {
        if (order instanceof WorkerOrder.Hold) {
            return reportLatencies.getOrDefault(worker, CellSession.CALL_LATENCY);
        }
        return order instanceof WorkerOrder.Start ? startAnswerLatency : CellSession.CALL_LATENCY;
    }

    private record Link(String host, String worker) {}
}
