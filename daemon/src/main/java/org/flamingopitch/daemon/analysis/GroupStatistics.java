package org.flamingopitch.daemon.analysis;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Accumulates the statistics of one group of jobs. */
final class GroupStatistics {

    private static final double MEDIAN = 0.5;

    private static final double HIGH_QUANTILE = 0.95;

    private static final double MICROS_PER_SECOND = 1e6;

    private final Map<String, Long> rejections = new TreeMap<>();

    private final Map<String, Long> runEnds = new TreeMap<>();

    private final Map<String, Long> runStops = new TreeMap<>();

    private final Map<String, Long> startsByPlace = new TreeMap<>();

    private final List<Long> waitMicros = new ArrayList<>();

    private final List<Long> runMicros = new ArrayList<>();

    private final Map<JobHistory.End, Long> ends = new TreeMap<>();

    private long submitted;

    private long started;

    void addSubmission() {
        submitted++;
    }

    void addRejection(String reason) {
        rejections.merge(reason, 1L, Long::sum);
    }

    void addFirstStart() {
        started++;
    }

    void addWait(long micros) {
        waitMicros.add(Math.max(0, micros));
    }

    void addRunTime(long micros) {
        runMicros.add(Math.max(0, micros));
    }

    void addEnd(JobHistory.End end) {
        ends.merge(end, 1L, Long::sum);
    }

    void addRunStart(String place) {
        startsByPlace.merge(place, 1L, Long::sum);
    }

    void addRunEnd(String kind) {
        runEnds.merge(kind, 1L, Long::sum);
    }

    void addRunStop(String cause) {
        runStops.merge(cause, 1L, Long::sum);
    }

    LogAnalysis.Row toRow(List<String> key) {
        return new LogAnalysis.Row(
                key,
                submitted,
                rejections.values().stream().mapToLong(Long::longValue).sum(),
                started,
                quantileSeconds(waitMicros, MEDIAN),
                quantileSeconds(waitMicros, HIGH_QUANTILE),
                quantileSeconds(runMicros, MEDIAN),
                quantileSeconds(runMicros, HIGH_QUANTILE),
                ends.getOrDefault(JobHistory.End.DONE, 0L),
                ends.getOrDefault(JobHistory.End.FAILED, 0L),
                ends.getOrDefault(JobHistory.End.CANCELLED, 0L),
                new LogAnalysis.Details(rejections, runEnds, runStops, startsByPlace));
    }

    /** Returns the smallest value that is not exceeded by the given share of the values, or null if there is none. */
    private static Double quantileSeconds(List<Long> micros, double share) {
        if (micros.isEmpty()) {
            return null;
        }
        List<Long> sorted = micros.stream().sorted().toList();
        int index = (int) Math.ceil(share * sorted.size()) - 1;
        return sorted.get(Math.max(0, index)) / MICROS_PER_SECOND;
    }
}
