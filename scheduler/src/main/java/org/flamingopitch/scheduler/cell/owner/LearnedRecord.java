package org.flamingopitch.scheduler.cell.owner;

import java.util.List;
import org.flamingopitch.scheduler.cell.admission.ServiceShares;
import org.flamingopitch.scheduler.cell.model.QueueName;

/**
 * Learned statistics that an owner stores so that its successor need not gather them again. They may be some seconds
 * old or missing: they affect only how well tasks are placed and which jobs are served first.
 *
 * @param durations the ratios of actual to estimated durations
 * @param responses how latency-critical images respond to best-effort tasks beside them
 * @param shares the value that was requested and served, by queue and size class
 */
record LearnedRecord(List<Duration> durations, List<Response> responses, List<ServiceShares.Stored> shares) {

    /** A record without statistics. */
    static final LearnedRecord EMPTY = new LearnedRecord(List.of(), List.of(), List.of());

    LearnedRecord {
        durations = durations == null ? List.of() : durations;
        responses = responses == null ? List.of() : responses;
        shares = shares == null ? List.of() : shares;
    }

    /**
     * The ratio of actual to estimated durations in a queue.
     *
     * @param queue the queue
     * @param ratio the actual duration of a task divided by its estimate, on average
     * @param recentRatios the histogram of the ratios of the newest runs, null if there is none
     * @param formerRatios the histogram of the ratios of the runs before them, null if there is none
     */
    record Duration(QueueName queue, double ratio, String recentRatios, String formerRatios) {}

    /**
     * How one latency-critical image responds to interference.
     *
     * @param serving the latency-critical image
     * @param baseline its headroom ratio (response time target divided by the measured tail) without interference
     * @param costs the reduction of the headroom ratio by each best-effort image
     */
    record Response(String serving, double baseline, List<Cost> costs) {}

    /**
     * The reduction of the headroom ratio of a latency-critical image by one best-effort image.
     *
     * @param filling the best-effort image
     * @param slack the reduction if the image's tasks use the whole processor time of the worker
     * @param variance the variance of that estimate
     */
    record Cost(String filling, double slack, double variance) {}
}
