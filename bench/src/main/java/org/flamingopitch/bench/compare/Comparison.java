package org.flamingopitch.bench.compare;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Pairs plays of two builds by day and seed, and prints the differences. */
final class Comparison {

    private final Map<String, Map<Play.Side, Play>> pairs = new TreeMap<>();

    private final List<String> failures = new ArrayList<>();

    Comparison(List<Play> plays) {
        for (Play play : plays) {
            pairs.computeIfAbsent(play.key(), key -> new EnumMap<>(Play.Side.class))
                    .put(play.side(), play);
            if (play.failure() != null) {
                failures.add(play.key() + " " + play.side().name().toLowerCase(Locale.ROOT) + ": " + play.failure());
            }
        }
        pairs.forEach((key, pair) -> {
            if (pair.size() < 2) {
                failures.add(key + ": only one of the two plays has a report");
            }
        });
    }

    /** Returns the plays that failed, broke a rule or have no counterpart. */
    List<String> failures() {
        return failures;
    }

    /** Returns the mean difference over the complete pairs of a day, or of all days for null. */
    PairedDifference difference(Measure measure, String day) {
        List<Double> differences = new ArrayList<>();
        for (Map<Play.Side, Play> pair : completePairs(day)) {
            differences.add(pair.get(Play.Side.CANDIDATE).figures().get(measure)
                    - pair.get(Play.Side.BASELINE).figures().get(measure));
        }
        return PairedDifference.of(differences);
    }

    private List<Map<Play.Side, Play>> completePairs(String day) {
        Predicate<Play> readable = play -> !play.figures().isEmpty();
        return pairs.values().stream()
                .filter(pair -> pair.size() == 2 && pair.values().stream().allMatch(readable))
                .filter(pair ->
                        day == null || pair.get(Play.Side.BASELINE).day().equals(day))
                .toList();
    }

    private double mean(Measure measure, String day, Play.Side side) {
        return completePairs(day).stream()
                .mapToDouble(pair -> pair.get(side).figures().get(measure))
                .average()
                .orElse(Double.NaN);
    }

    /** Returns the table of all days and measures as text. */
    String table() {
        StringBuilder text = new StringBuilder(String.format(
                "%-14s %-20s %5s %9s %9s %20s  %s%n",
                "day", "", "pairs", "baseline", "candidate", "difference, 95 %", "verdict"));
        List<String> days = new ArrayList<>(pairs.values().stream()
                .map(pair -> pair.values().iterator().next().day())
                .distinct()
                .toList());
        for (String day : days) {
            appendRow(text, Measure.WORTH, day);
            appendRow(text, Measure.WORST_WINDOWS, day);
        }
        for (Measure measure : Measure.values()) {
            appendRow(text, measure, null);
        }
        failures.forEach(failure -> text.append("failed: ").append(failure).append(System.lineSeparator()));
        return text.toString();
    }

    private void appendRow(StringBuilder text, Measure measure, String day) {
        PairedDifference difference = difference(measure, day);
        String verdict = measure == Measure.WORTH ? difference.verdict() : "";
        text.append(String.format(
                Locale.ROOT,
                "%-14s %-20s %5d %9.3f %9.3f %+9.3f ± %8.3f  %s%n",
                day == null ? "all days" : day,
                measure.label(),
                difference.pairs(),
                mean(measure, day, Play.Side.BASELINE),
                mean(measure, day, Play.Side.CANDIDATE),
                difference.mean(),
                difference.halfWidth(),
                verdict));
    }

    /** Returns one line of comma-separated values for each play. */
    List<String> csv() {
        List<String> lines = new ArrayList<>();
        StringBuilder header = new StringBuilder("day,seed,side,failure");
        for (Measure measure : Measure.values()) {
            header.append(',').append(measure.label());
        }
        lines.add(header.toString());
        for (Map<Play.Side, Play> pair : pairs.values()) {
            for (Play play : pair.values()) {
                StringBuilder line = new StringBuilder(String.join(
                        ",", play.day(), play.seed(), play.side().name().toLowerCase(Locale.ROOT)));
                line.append(',')
                        .append(play.failure() == null ? "" : play.failure().replace(',', ';'));
                for (Measure measure : Measure.values()) {
                    line.append(',').append(play.figures().getOrDefault(measure, Double.NaN));
                }
                lines.add(line.toString());
            }
        }
        return lines;
    }
}
