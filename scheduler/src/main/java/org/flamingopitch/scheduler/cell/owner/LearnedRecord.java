package org.flamingopitch.scheduler.cell.owner;

import java.util.List;
import org.flamingopitch.scheduler.cell.model.QueueName;

/**
 * What an owner has learned and the store keeps, so that a successor need not try everything again. It may be some
 * seconds old or missing: nothing depends on it but how well tasks are placed.
 *
 * @param durations how far estimates are off
 * @param responses how serving images respond to what fills beside them
 */
record LearnedRecord(List<Duration> durations, List<Response> responses) {

    /** Nothing was learned. */
    static final LearnedRecord NOTHING = new LearnedRecord(List.of(), List.of());

    LearnedRecord {
        durations = durations == null ? List.of() : durations;
        responses = responses == null ? List.of() : responses;
    }

    /**
     * How far the estimates of a queue are off.
     *
     * @param queue the queue
     * @param ratio how many times as long as estimated its tasks take
     */
    record Duration(QueueName queue, double ratio) {}

    /**
     * How one serving image responds.
     *
     * @param serving the image
     * @param baseline its slack alone
     * @param costs what it loses beside others
     */
    record Response(String serving, double baseline, List<Cost> costs) {}

    /**
     * What one serving image loses beside one filling image.
     *
     * @param filling the filling image
     * @param slack the slack that a whole worker's worth of it takes off
     * @param variance how uncertain that is
     */
    record Cost(String filling, double slack, double variance) {}
}
