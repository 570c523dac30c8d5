package org.flamingopitch.daemon.analysis;

import java.math.BigDecimal;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Function;

/** Determines the group of a job or event, in a form that sorts correctly, and the group's label. */
final class GroupKeys {

    static final long WINDOW_MICROS = 2_000_000;

    private static final int MICROS_EXPONENT = 6;

    private final long firstWindow;

    private final long offsetMicros;

    private final boolean numbered;

    private final Function<JobHistory, SizeClass> sizeClass;

    /**
     * Creates the keys of an analysis.
     *
     * @param firstMicros the time of the first event
     * @param prefixOffsetMicros what the number before {@code time=} is ahead of the time, if lines have such a number
     * @param sizeClass classifies a job
     */
    GroupKeys(long firstMicros, OptionalLong prefixOffsetMicros, Function<JobHistory, SizeClass> sizeClass) {
        this.numbered = prefixOffsetMicros.isPresent();
        this.offsetMicros = prefixOffsetMicros.orElse(0);
        this.firstWindow = windowNumber(firstMicros);
        this.sizeClass = sizeClass;
    }

    private long windowNumber(long micros) {
        return Math.floorDiv(micros + offsetMicros, WINDOW_MICROS);
    }

    /** Returns the value of a dimension; windows are numbered from the first one, with leading zeros. */
    String value(Dimension dimension, JobHistory job, long micros, String dataCentre) {
        return switch (dimension) {
            case QUEUE -> orUnknown(job.queue());
            case SIZE -> String.valueOf(sizeClass.apply(job).ordinal());
            case DATA_CENTRE -> orUnknown(dataCentre);
            case WINDOW -> String.format("%012d", windowNumber(micros) - firstWindow);
        };
    }

    /** Returns the start of a window, on the scale of the number before {@code time=} or since the first window. */
    double windowStartSeconds(long micros) {
        long window = windowNumber(micros) - (numbered ? 0 : firstWindow);
        return window * WindowCounts.WINDOW_SECONDS;
    }

    /** Returns how the values of a group are printed. */
    List<String> labels(List<Dimension> grouping, List<String> values) {
        List<String> labels = new ArrayList<>();
        for (int i = 0; i < values.size(); i++) {
            String value = values.get(i);
            labels.add(
                    switch (grouping.get(i)) {
                        case SIZE -> SizeClass.values()[Integer.parseInt(value)].label();
                        case WINDOW -> timeLabel((Long.parseLong(value) + firstWindow) * WINDOW_MICROS - offsetMicros);
                        default -> value;
                    });
        }
        return labels;
    }

    /** Returns a time as seconds on the scale of the number before {@code time=}, or as ISO 8601 without such numbers. */
    String timeLabel(long micros) {
        if (!numbered) {
            return Instant.EPOCH.plus(micros, ChronoUnit.MICROS).toString();
        }
        BigDecimal seconds =
                BigDecimal.valueOf(micros + offsetMicros, MICROS_EXPONENT).stripTrailingZeros();
        return seconds.signum() == 0 ? "0" : seconds.toPlainString();
    }

    private static String orUnknown(String text) {
        return text.isEmpty() ? LogAnalyzer.UNKNOWN : text;
    }
}
