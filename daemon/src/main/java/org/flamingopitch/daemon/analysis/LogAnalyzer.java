package org.flamingopitch.daemon.analysis;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Reader;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/** Reads logs and computes statistics of the jobs in them. */
public final class LogAnalyzer {

    /** The data centre of a host is its name without the number at the end, unless another pattern is given. */
    public static final String DEFAULT_DATA_CENTRE_PATTERN = "(.+?)(?:-\\d+)?";

    /** The place of a start on a worker whose data centre and rack are not in the logs. */
    static final String UNKNOWN = "unknown";

    private static final Comparator<List<String>> KEY_ORDER = (left, right) -> {
        for (int i = 0; i < Math.min(left.size(), right.size()); i++) {
            int order = left.get(i).compareTo(right.get(i));
            if (order != 0) {
                return order;
            }
        }
        return Integer.compare(left.size(), right.size());
    };

    private final LogLineParser parser = new LogLineParser();

    private final LogEvents events;

    private long lines;

    private long unreadableLines;

    private long damagedLines;

    private long incompleteRecords;

    /**
     * Creates an analyzer without any lines.
     *
     * @param dataCentreOfHost matches a host's name; its first group is the data centre
     */
    public LogAnalyzer(Pattern dataCentreOfHost) {
        events = new LogEvents(dataCentreOfHost);
    }

    /**
     * Reads all lines of a log.
     *
     * @param log the log
     * @param defaultHost the host that has written lines without a host's name, until its process names itself
     * @throws IOException if the log cannot be read
     */
    public void read(Reader log, String defaultHost) throws IOException {
        BufferedReader reader = new BufferedReader(log);
        String unprefixedHost = defaultHost;
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            lines++;
            LogLineParser.Result result = parser.parse(line);
            if (result.record().isEmpty()) {
                unreadableLines++;
                continue;
            }
            LogRecord entry = result.record().get();
            if (entry.host().isEmpty() && entry.event().equals("started")) {
                unprefixedHost = hostOfProcess(entry.field("process"), unprefixedHost);
            }
            boolean complete = events.add(entry, entry.host().isEmpty() ? unprefixedHost : entry.host());
            damagedLines += result.damaged() ? 1 : 0;
            incompleteRecords += complete ? 0 : 1;
        }
    }

    /** A process is named after its host, with a suffix that distinguishes its incarnations. */
    private static String hostOfProcess(String process, String otherwise) {
        int suffix = process.lastIndexOf('.');
        return suffix > 0 ? process.substring(0, suffix) : otherwise;
    }

    /**
     * Returns whether no readable record was found.
     *
     * @return whether there is nothing to report
     */
    public boolean isEmpty() {
        return events.isEmpty();
    }

    /**
     * Computes the statistics of all lines read so far.
     *
     * @param groupings the dimensions of each section
     * @return the result
     */
    public LogAnalysis analyze(List<List<Dimension>> groupings) {
        boolean byWork = sizesAreStatedAsWork();
        long[] ascendingSizes = jobStream()
                .filter(job -> job.submittedMicros().isPresent())
                .mapToLong(job -> size(job, byWork))
                .filter(size -> size > 0)
                .sorted()
                .toArray();
        GroupKeys keys = new GroupKeys(
                events.firstMicros(),
                events.prefixOffsetMicros(),
                job -> SizeClass.of(size(job, byWork), ascendingSizes));
        List<LogAnalysis.Section> sections = new ArrayList<>();
        for (List<Dimension> grouping : groupings) {
            sections.add(section(grouping, keys));
        }
        return new LogAnalysis(
                lines,
                unreadableLines,
                damagedLines,
                incompleteRecords,
                events.droppedRecords(),
                jobStream()
                        .filter(job -> job.submittedMicros().isEmpty()
                                && (job.startedMicros().isPresent()
                                        || job.endedMicros().isPresent()))
                        .count(),
                keys.timeLabel(events.firstMicros()),
                keys.timeLabel(events.lastMicros()),
                byWork ? "work_core_ms" : "tasks",
                sections);
    }

    /**
     * Counts arrivals, rejections and completions.
     *
     * @return the windows in which something happened, in order
     */
    public List<WindowCounts> windowCounts() {
        GroupKeys keys = new GroupKeys(events.firstMicros(), events.prefixOffsetMicros(), job -> SizeClass.UNKNOWN);
        Map<Double, WindowCounts> windows = new TreeMap<>();
        for (JobHistory job : events.jobs()) {
            job.submittedMicros().ifPresent(micros -> merge(windows, keys.windowStartSeconds(micros), 1, 0, 0));
            job.rejections().forEach(each -> merge(windows, keys.windowStartSeconds(each.micros()), 1, 1, 0));
            if (job.end() == JobHistory.End.DONE) {
                job.endedMicros().ifPresent(micros -> merge(windows, keys.windowStartSeconds(micros), 0, 0, 1));
            }
        }
        return List.copyOf(windows.values());
    }

    private static void merge(
            Map<Double, WindowCounts> windows, double start, long arrivals, long rejections, long completions) {
        windows.merge(
                start,
                new WindowCounts(start, arrivals, rejections, completions),
                (left, right) -> new WindowCounts(
                        start,
                        left.arrivals() + right.arrivals(),
                        left.rejections() + right.rejections(),
                        left.completions() + right.completions()));
    }

    /** Compares by work if most submissions state it; logs of an older version count tasks only. */
    private boolean sizesAreStatedAsWork() {
        long submitted =
                jobStream().filter(job -> job.submittedMicros().isPresent()).count();
        long stated = jobStream()
                .filter(job -> job.submittedMicros().isPresent() && job.workCoreMillis() > 0)
                .count();
        return stated * 2 > submitted;
    }

    private static long size(JobHistory job, boolean byWork) {
        return byWork ? job.workCoreMillis() : job.tasks();
    }

    private Stream<JobHistory> jobStream() {
        return StreamSupport.stream(events.jobs().spliterator(), false);
    }

    private LogAnalysis.Section section(List<Dimension> grouping, GroupKeys keys) {
        Map<List<String>, GroupStatistics> groups = new TreeMap<>(KEY_ORDER);
        GroupFinder finder = (job, micros, dataCentre) -> groups.computeIfAbsent(
                grouping.stream()
                        .map(dimension -> keys.value(dimension, job, micros, dataCentre))
                        .toList(),
                key -> new GroupStatistics());
        events.jobs().forEach(job -> addJob(job, finder));
        Map<String, String> places = events.workerPlaces();
        for (LogEvents.RunEvent event : events.runEvents()) {
            GroupStatistics group =
                    finder.group(event.job(), event.micros(), event.job().dataCentre());
            switch (event.type()) {
                case START -> group.addRunStart(places.getOrDefault(event.detail(), UNKNOWN));
                case END -> group.addRunEnd(event.detail());
                default -> group.addRunStop(event.detail());
            }
        }
        List<LogAnalysis.Row> rows = new ArrayList<>();
        groups.forEach((key, group) -> rows.add(group.toRow(keys.labels(grouping, key))));
        return new LogAnalysis.Section(grouping.stream().map(Dimension::label).toList(), rows);
    }

    private static void addJob(JobHistory job, GroupFinder finder) {
        for (JobHistory.Rejection rejection : job.rejections()) {
            String dataCentre = rejection.dataCentre().isEmpty() ? job.dataCentre() : rejection.dataCentre();
            finder.group(job, rejection.micros(), dataCentre).addRejection(rejection.reason());
        }
        job.submittedMicros()
                .ifPresent(micros -> finder.group(job, micros, job.dataCentre()).addSubmission());
        job.startedMicros().ifPresent(micros -> {
            GroupStatistics group = finder.group(job, micros, job.dataCentre());
            group.addFirstStart();
            job.submittedMicros().ifPresent(submitted -> group.addWait(micros - submitted));
        });
        job.endedMicros().ifPresent(micros -> {
            GroupStatistics group = finder.group(job, micros, job.dataCentre());
            group.addEnd(job.end());
            if (job.end() == JobHistory.End.DONE) {
                job.startedMicros().ifPresent(started -> group.addRunTime(micros - started));
            }
        });
    }

    /** Finds the group that an event of a job belongs to. */
    private interface GroupFinder {
        GroupStatistics group(JobHistory job, long micros, String dataCentre);
    }
}
