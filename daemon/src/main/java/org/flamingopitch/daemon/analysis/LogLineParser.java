package org.flamingopitch.daemon.analysis;

import java.math.BigDecimal;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses log lines. When the logs of several hosts are collected into one stream, a line may be cut and joined with the
 * next one. The last record of such a line is complete; the parts before it lack their end and are dropped, since a
 * value at the cut may be shortened.
 */
final class LogLineParser {

    private static final Pattern RECORD_START = Pattern.compile("time=(?=\\d{4}-\\d\\d-\\d\\dT)");

    private static final String NUMBER = "(-?\\d{1,12}(?:\\.\\d{1,9})?)";

    private static final String HOST = "([A-Za-z][\\w.-]*)";

    /** What may precede the only record of a line: a number, a host, both or nothing. */
    private static final Pattern LINE_PREFIX = Pattern.compile("\\s*(?:" + NUMBER + "\\s+)?(?:" + HOST + "\\s+)?");

    /** What precedes a record that follows the beginning of another one: a number and a host. */
    private static final Pattern JOINED_PREFIX = Pattern.compile("(?:^|\\s)" + NUMBER + "\\s+" + HOST + "\\s+$");

    private static final int MICROS_EXPONENT = 6;

    /**
     * The outcome for one line.
     *
     * @param record the last record of the line, if the line has one
     * @param damaged whether a part of the line was dropped
     */
    record Result(Optional<LogRecord> record, boolean damaged) {}

    private record Prefix(OptionalLong micros, String host) {

        private static final Prefix NONE = new Prefix(OptionalLong.empty(), "");
    }

    /** Parses one line without its line separator. */
    Result parse(String line) {
        Matcher start = RECORD_START.matcher(line);
        int first = -1;
        int last = -1;
        while (start.find()) {
            first = first < 0 ? start.start() : first;
            last = start.start();
        }
        if (last < 0) {
            return new Result(Optional.empty(), false);
        }
        Map<String, String> fields = fields(line, last);
        Optional<Instant> instant = instant(fields.getOrDefault("time", ""));
        if (instant.isEmpty()
                || !fields.containsKey("level")
                || fields.getOrDefault("event", "").isEmpty()) {
            return new Result(Optional.empty(), true);
        }
        Prefix prefix = joinedPrefix(beforeRecord(line, last));
        if (prefix.host().isEmpty()) {
            // Either this is the only record, or what is missing lies within the lines of one host.
            prefix = linePrefix(beforeRecord(line, first));
        }
        boolean damaged = first < last || (last > 0 && line.charAt(last - 1) != ' ');
        return new Result(Optional.of(new LogRecord(prefix.micros(), instant.get(), prefix.host(), fields)), damaged);
    }

    private static Prefix joinedPrefix(String text) {
        Matcher matcher = JOINED_PREFIX.matcher(text);
        return matcher.find() ? new Prefix(micros(matcher.group(1)), matcher.group(2)) : Prefix.NONE;
    }

    private static Prefix linePrefix(String text) {
        Matcher matcher = LINE_PREFIX.matcher(text);
        if (!matcher.matches()) {
            return Prefix.NONE;
        }
        return new Prefix(
                matcher.group(1) == null ? OptionalLong.empty() : micros(matcher.group(1)),
                matcher.group(2) == null ? "" : matcher.group(2));
    }

    /** Returns what precedes a record, less the start of a word that was cut off directly before it. */
    private static String beforeRecord(String line, int end) {
        int wordEnd = end;
        while (wordEnd > 0 && line.charAt(wordEnd - 1) != ' ') {
            wordEnd--;
        }
        return line.substring(0, wordEnd);
    }

    private static OptionalLong micros(String seconds) {
        return OptionalLong.of(
                new BigDecimal(seconds).movePointRight(MICROS_EXPONENT).longValue());
    }

    private static Optional<Instant> instant(String text) {
        try {
            return Optional.of(Instant.parse(text));
        } catch (DateTimeParseException e) {
            return Optional.empty();
        }
    }

    private static Map<String, String> fields(String line, int start) {
        Map<String, String> fields = new LinkedHashMap<>();
        int position = start;
        while (position < line.length()) {
            int equals = line.indexOf('=', position);
            if (equals < 0) {
                break;
            }
            String key = line.substring(Math.max(position, line.lastIndexOf(' ', equals) + 1), equals);
            int end = valueEnd(line, equals + 1);
            boolean quoted = end > equals + 2 && line.charAt(equals + 1) == '"' && line.charAt(end - 1) == '"';
            fields.putIfAbsent(key, quoted ? line.substring(equals + 2, end - 1) : line.substring(equals + 1, end));
            position = end;
        }
        return fields;
    }

    /** Returns the end of a value, which contains spaces only in quotes or brackets. */
    private static int valueEnd(String line, int start) {
        int depth = 0;
        boolean quoted = false;
        for (int i = start; i < line.length(); i++) {
            char character = line.charAt(i);
            if (character == '"') {
                quoted = !quoted;
            } else if (!quoted && character == '[') {
                depth++;
            } else if (!quoted && character == ']') {
                depth--;
            } else if (!quoted && depth <= 0 && character == ' ') {
                return i;
            }
        }
        return line.length();
    }
}
