package org.flamingopitch.daemon.analysis;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Formats an analysis as tables for the terminal. */
public final class AnalysisTable {

    private static final List<String> HEADINGS = List.of(
            "submitted", "rejected", "started", "wait50", "wait95", "run50", "run95", "done", "failed", "cancelled");

    private AnalysisTable() {}

    /**
     * Formats an analysis: a line about the input, then one table for each section.
     *
     * @param analysis the analysis
     * @return the text, each line with a line separator
     */
    public static String format(LogAnalysis analysis) {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                "%d lines from %s to %s, %d unreadable, %d cut or joined, %d records incomplete, %d dropped by hosts%n"
                        + "%d jobs without a line of their submission; sizes by %s%n",
                analysis.lines(),
                analysis.from(),
                analysis.to(),
                analysis.unreadableLines(),
                analysis.damagedLines(),
                analysis.incompleteRecords(),
                analysis.droppedRecords(),
                analysis.jobsWithoutSubmission(),
                analysis.sizeUnit()));
        for (LogAnalysis.Section section : analysis.sections()) {
            text.append(System.lineSeparator());
            appendSection(text, section);
        }
        if (!analysis.sections().isEmpty()) {
            text.append(System.lineSeparator());
            appendStarts(text, analysis.sections().get(0));
        }
        return text.toString();
    }

    private static void appendSection(StringBuilder text, LogAnalysis.Section section) {
        List<List<String>> cells = new ArrayList<>();
        List<String> heading = new ArrayList<>(section.by());
        heading.addAll(HEADINGS);
        heading.add("causes");
        cells.add(heading);
        for (LogAnalysis.Row row : section.rows()) {
            List<String> line = new ArrayList<>(row.key());
            line.add(count(row.submitted()));
            line.add(count(row.rejected()));
            line.add(count(row.started()));
            line.add(seconds(row.startWaitMedianSeconds()));
            line.add(seconds(row.startWaitP95Seconds()));
            line.add(seconds(row.runTimeMedianSeconds()));
            line.add(seconds(row.runTimeP95Seconds()));
            line.add(count(row.done()));
            line.add(count(row.failed()));
            line.add(count(row.cancelled()));
            line.add(causes(row.details()));
            cells.add(line);
        }
        appendCells(text, cells, section.by().size());
    }

    private static void appendStarts(StringBuilder text, LogAnalysis.Section section) {
        Map<String, Long> starts = new TreeMap<>();
        section.rows()
                .forEach(row ->
                        row.details().startsByPlace().forEach((place, count) -> starts.merge(place, count, Long::sum)));
        List<List<String>> cells = new ArrayList<>();
        cells.add(List.of("starts in", "runs"));
        starts.forEach((place, count) -> cells.add(List.of(place, count(count))));
        appendCells(text, cells, 1);
    }

    /** Appends aligned columns: the keys and a last column of text to the left, numbers to the right. */
    private static void appendCells(StringBuilder text, List<List<String>> cells, int keyColumns) {
        int columns = cells.get(0).size();
        for (List<String> line : cells) {
            StringBuilder formatted = new StringBuilder();
            for (int column = 0; column < columns; column++) {
                boolean left = column < keyColumns || column >= keyColumns + HEADINGS.size();
                int index = column;
                int width = cells.stream()
                        .mapToInt(each -> each.get(index).length())
                        .max()
                        .orElse(1);
                formatted.append(String.format((left ? "%-" : "%") + Math.max(1, width) + "s  ", line.get(column)));
            }
            text.append(formatted.toString().stripTrailing()).append(System.lineSeparator());
        }
    }

    private static String causes(LogAnalysis.Details details) {
        List<String> parts = new ArrayList<>();
        addPart(parts, "rejected", details.rejections());
        addPart(parts, "runs", details.runEnds());
        addPart(parts, "stopped", details.runStops());
        return String.join("; ", parts);
    }

    private static void addPart(List<String> parts, String name, Map<String, Long> counts) {
        if (!counts.isEmpty()) {
            parts.add(name + ": "
                    + counts.entrySet().stream()
                            .map(entry -> entry.getKey() + " " + entry.getValue())
                            .collect(Collectors.joining(", ")));
        }
    }

    private static String count(long count) {
        return Long.toString(count);
    }

    private static String seconds(Double seconds) {
        return seconds == null ? "-" : String.format(Locale.ROOT, "%.2f", seconds);
    }
}
