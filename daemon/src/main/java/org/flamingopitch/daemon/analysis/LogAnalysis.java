package org.flamingopitch.daemon.analysis;

import java.util.List;
import java.util.Map;

/**
 * The result of an analysis, as it is printed as JSON.
 *
 * @param lines how many lines were read
 * @param unreadableLines how many of them contain no complete record
 * @param damagedLines how many of the others were cut or joined, so that a part of them is missing
 * @param incompleteRecords how many records lack a value that their event needs
 * @param droppedRecords how many records the hosts did not write because their output was blocked
 * @param jobsWithoutSubmission jobs that have started, or ended in another way than by a rejection, and whose submission
 *     is not in the logs; if there are many, the counts of submissions and starts are too low
 * @param from the time of the first record
 * @param to the time of the last record
 * @param sizeUnit what the size classes compare: {@code work_core_ms} or {@code tasks}
 * @param sections the statistics, grouped in different ways
 */
public record LogAnalysis(
        long lines,
        long unreadableLines,
        long damagedLines,
        long incompleteRecords,
        long droppedRecords,
        long jobsWithoutSubmission,
        String from,
        String to,
        String sizeUnit,
        List<Section> sections) {

    /**
     * The statistics grouped by some dimensions.
     *
     * @param by the labels of the dimensions
     * @param rows one row for each group, sorted by key
     */
    public record Section(List<String> by, List<Row> rows) {}

    /**
     * The statistics of one group. Each event counts in the window in which it was logged.
     *
     * @param key the group's value of each dimension
     * @param submitted jobs that an owner admitted
     * @param rejected rejections; a job may be rejected several times
     * @param started jobs whose first task was started
     * @param startWaitMedianSeconds time from the submission to the first start, median; absent without values
     * @param startWaitP95Seconds the same, 95th percentile
     * @param runTimeMedianSeconds time from the first start to the end of the jobs that are done, median
     * @param runTimeP95Seconds the same, 95th percentile
     * @param done jobs all of whose tasks are done
     * @param failed jobs that failed
     * @param cancelled jobs that were cancelled
     * @param details counts by cause
     */
    public record Row(
            List<String> key,
            long submitted,
            long rejected,
            long started,
            Double startWaitMedianSeconds,
            Double startWaitP95Seconds,
            Double runTimeMedianSeconds,
            Double runTimeP95Seconds,
            long done,
            long failed,
            long cancelled,
            Details details) {}

    /**
     * Counts of one group by cause.
     *
     * @param rejections rejections by reason
     * @param runEnds ends of runs by kind
     * @param runStops runs that the owner decided to stop, by cause
     * @param startsByPlace starts by data centre and rack of the worker, as far as known
     */
    public record Details(
            Map<String, Long> rejections,
            Map<String, Long> runEnds,
            Map<String, Long> runStops,
            Map<String, Long> startsByPlace) {}
}
