package org.flamingopitch.daemon.analysis;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Collected logs contain cut and joined lines; a wrong value from one of them would distort the statistics. */
final class LogLineParserTest {

    private static final String TIME = "time=2026-07-29T01:28:50.000Z level=INFO logger=a.B ";

    private final LogLineParser parser = new LogLineParser();

    @Test
    void prefixGivesNumberAndHost() {
        LogRecord entry = onlyRecord("  -9.3795 host-a-1 " + TIME + "event=cancelled job=1");
        assertThat(entry.prefixMicros()).hasValue(-9_379_500);
        assertThat(entry.host()).isEqualTo("host-a-1");
        assertThat(entry.event()).isEqualTo("cancelled");
        assertThat(entry.field("job")).isEqualTo("1");
    }

    @Test
    void lineWithoutPrefixIsReadable() {
        LogRecord entry = onlyRecord(TIME + "event=cancelled job=1");
        assertThat(entry.prefixMicros()).isEmpty();
        assertThat(entry.host()).isEmpty();
    }

    @Test
    void spacesInQuotesAndBracketsBelongToTheValue() {
        LogRecord entry = onlyRecord(
                TIME + "event=not_served reply=Refused[retryAfter=PT1S, reason=too much] detail=\"a reason=b\" x=1");
        assertThat(entry.field("reply")).isEqualTo("Refused[retryAfter=PT1S, reason=too much]");
        assertThat(entry.field("detail")).isEqualTo("a reason=b");
        assertThat(entry.field("x")).isEqualTo("1");
        assertThat(entry.fields()).doesNotContainKey("reason");
    }

    @Test
    void joinedLineYieldsItsLastRecordWithThatRecordsHost() {
        LogLineParser.Result result = parser.parse("   7.4372 host-a-1 " + TIME
                + "event=end task=7.0.0   7.4695 host-b-4 " + TIME + "event=cancelled job=2");
        assertThat(result.damaged()).isTrue();
        LogRecord entry = result.record().orElseThrow();
        assertThat(entry.host()).isEqualTo("host-b-4");
        assertThat(entry.prefixMicros()).hasValue(7_469_500);
        assertThat(entry.field("job")).isEqualTo("2");
        assertThat(entry.fields()).doesNotContainKey("task");
    }

    @Test
    void recordJoinedWithoutItsPrefixHasThePrefixOfTheLine() {
        LogLineParser.Result result =
                parser.parse("   7.4372 host-a-1 " + TIME + "event=start task=bf0254.12 " + TIME + "event=end task=2");
        assertThat(result.damaged()).isTrue();
        LogRecord entry = result.record().orElseThrow();
        assertThat(entry.host()).isEqualTo("host-a-1");
        assertThat(entry.prefixMicros()).hasValue(7_437_200);
        assertThat(entry.field("task")).isEqualTo("2");
    }

    @Test
    void cutWithinTheFirstKeyKeepsThePrefix() {
        LogLineParser.Result result = parser.parse("  38.3430 host-a-1 ti" + TIME + "event=end task=2");
        assertThat(result.damaged()).isTrue();
        LogRecord entry = result.record().orElseThrow();
        assertThat(entry.host()).isEqualTo("host-a-1");
        assertThat(entry.instant()).isEqualTo("2026-07-29T01:28:50Z");
    }

    @Test
    void textAndShortenedRecordsAreUnreadable() {
        for (String line : new String[] {
            "",
            "   3.0 s to      7.0 s  replace_core (leader) host-a-2",
            "time=2026-07-29T01:28:5",
            TIME + "event=",
            "   3.0 host-a-1 time=2026-07-29T01:28:50.000Z level=IN"
        }) {
            assertThat(parser.parse(line).record()).as(line).isEmpty();
        }
    }

    private LogRecord onlyRecord(String line) {
        LogLineParser.Result result = parser.parse(line);
        assertThat(result.damaged()).isFalse();
        return result.record().orElseThrow();
    }
}
