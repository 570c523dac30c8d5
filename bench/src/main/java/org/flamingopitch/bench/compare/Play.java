package org.flamingopitch.bench.compare;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.flamingopitch.coordination.api.JsonCodec;

/**
 * One play of a day.
 *
 * @param day the name of the day
 * @param seed the seed, or {@code own} for that of the day
 * @param side which build was played
 * @param failure why the play does not count for the means, or null
 * @param figures the figures of the report, empty if there is none
 */
record Play(String day, String seed, Side side, String failure, Map<Measure, Double> figures) {

    private static final Pattern FILE_NAME = Pattern.compile("(.+)\\.([^.]+)\\.(baseline|candidate)\\.json");

    /** Returns whether a file is named like a report: {@code DAY.SEED.SIDE.json}. */
    static boolean isReport(Path file) {
        return FILE_NAME.matcher(file.getFileName().toString()).matches();
    }

    /** Reads a report. An unreadable report, a broken rule or a fault becomes the failure of the play. */
    static Play read(Path file) {
        Matcher name = FILE_NAME.matcher(file.getFileName().toString());
        if (!name.matches()) {
            throw new IllegalArgumentException(
                    file + " is not named DAY.SEED.baseline.json or DAY.SEED.candidate.json");
        }
        Side side = Side.valueOf(name.group(3).toUpperCase(Locale.ROOT));
        try {
            JsonNode report = JsonCodec.compact().decode(Files.readString(file), JsonNode.class);
            Map<Measure, Double> figures = new EnumMap<>(Measure.class);
            for (Measure measure : Measure.values()) {
                figures.put(measure, measure.of(report));
            }
            return new Play(name.group(1), name.group(2), side, failure(report), figures);
        } catch (IOException | IllegalArgumentException e) {
            return new Play(name.group(1), name.group(2), side, "unreadable report: " + e.getMessage(), Map.of());
        }
    }

    private static String failure(JsonNode report) {
        if (!report.path("breaks").isEmpty()) {
            return "broken rules " + report.path("breaks");
        }
        return report.path("fault").isNull() || report.path("fault").isMissingNode()
                ? null
                : "fault " + report.path("fault").asText();
    }

    /** Returns what both plays of a pair have in common. */
    String key() {
        return day + " " + seed;
    }

    /** The two builds of a comparison. */
    enum Side {
        BASELINE,
        CANDIDATE
    }
}
