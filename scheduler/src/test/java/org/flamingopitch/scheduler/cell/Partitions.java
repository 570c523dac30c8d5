package org.flamingopitch.scheduler.cell;

import java.time.Duration;
import java.time.Instant;
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

    /** When connections last went silent; null if they never did. */
    private Instant silencedAt;

    /** The links that have opened new connections since the last silence. */
    private final Set<Link> reopenedLinks = new HashSet<>();

    /** When the first call that was lost in a silence times out, for each silent link that has lost one. */
    private final Map<Link, Instant> detectedAt = new HashMap<>();

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

    /**
     * Lets all open connections go silent for good, while new ones work. On each link the calls are lost that are sent
     * before the first one of them has timed out, as the idle connections are closed then.
     */
    void silenceConnections(Instant now) {
        silencedAt = now;
        reopenedLinks.clear();
    }

    /** Returns whether a call that is sent now is lost on a silent connection. */
    boolean losesCall(String host, String peer, Instant now) {
        Link link = new Link(host, peer);
        if (silencedAt == null || reopenedLinks.contains(link)) {
            return false;
        }
        if (now.isBefore(detectedAt.computeIfAbsent(link, key -> now.plus(CellSession.CALL_TIMEOUT)))) {
            return true;
        }
        detectedAt.remove(link);
        reopenedLinks.add(link);
        return false;
    }

    /** Returns whether connections have gone silent after a moment. */
    boolean silencedSince(Instant moment) {
        return silencedAt != null && silencedAt.isAfter(moment);
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

    private record Link(String host, String peer) {}
}
