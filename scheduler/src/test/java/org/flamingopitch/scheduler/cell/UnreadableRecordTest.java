package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** A record that cannot be read or restored must not keep each new owner from serving all other jobs. */
final class UnreadableRecordTest {

    private static final String LEARNED = "flamingopitch/learned";

    private static final String JOB = "flamingopitch/job/00000000000000bb";

    private static final String PROGRESS = "flamingopitch/progress/00000000000000bb";

    private static final String QUEUE =
            "{\"name\":\"q\",\"host\":\"callers.example\",\"prefix\":\"/q/\",\"service\":\"pool\"}";

    private static final String VALID_JOB =
            "{\"queue\":" + QUEUE + ",\"submittedMillis\":5,\"spec\":{\"payload\":\"w\",\"steps\":[{\"count\":1}]}}";

    private static final int NESTING = 100_000;

    private final CellSession session = new CellSession();

    static Stream<Arguments> records() {
        Stream<String> anywhere = Stream.of(
                "", "null", "7", "\"x\"", "{", "{}{}", "\u0000", "[".repeat(NESTING), "{\"a\":".repeat(NESTING));
        Stream<Arguments> unreadable = anywhere.flatMap(value ->
                Stream.of(Arguments.of(LEARNED, value), Arguments.of(JOB, value), Arguments.of(PROGRESS, value)));
        Stream<Arguments> learned = Stream.of(
                        "{\"durations\":[null]}",
                        "{\"durations\":[{}]}",
                        "{\"durations\":[{\"queue\":\"q\",\"ratio\":\"NaN\"}]}",
                        "{\"durations\":[{\"queue\":\"q\",\"ratio\":1e999}]}",
                        "{\"durations\":[{\"queue\":\"q\",\"ratio\":1,\"recentRatios\":\"?\"}]}",
                        "{\"responses\":[null]}",
                        "{\"responses\":[{}]}",
                        "{\"responses\":[{\"serving\":\"s\",\"baseline\":1}]}",
                        "{\"responses\":[{\"serving\":\"s\",\"baseline\":1,\"costs\":[null]}]}",
                        "{\"shares\":[null]}",
                        "{\"shares\":[{}]}",
                        "{\"shares\":[{\"queue\":\"q\",\"sizeClass\":\"HUGE\"}]}")
                .map(value -> Arguments.of(LEARNED, value));
        Stream<Arguments> jobs = Stream.of(
                        "{\"queue\":null,\"spec\":{\"payload\":\"w\"}}",
                        "{\"queue\":" + QUEUE + "}",
                        "{\"queue\":" + QUEUE + ",\"spec\":{\"payload\":\"w\"}}",
                        VALID_JOB.replace("{\"count\":1}", "null"),
                        VALID_JOB.replace("{\"count\":1}", "{\"count\":-1}"),
                        VALID_JOB.replace("{\"count\":1}", "{\"count\":2147483647}"),
                        VALID_JOB.replace("{\"count\":1}", "{\"count\":1,\"after\":[5]}"),
                        VALID_JOB.replace("{\"count\":1}", "{\"count\":1,\"after\":[null]}"),
                        VALID_JOB.replace("\"submittedMillis\":5", "\"submittedMillis\":-9223372036854775808"),
                        VALID_JOB.replace("\"submittedMillis\":5", "\"submittedMillis\":92233720368547758070"))
                .map(value -> Arguments.of(JOB, value));
        Stream<Arguments> keys = Stream.of(
                Arguments.of("flamingopitch/job/", VALID_JOB),
                Arguments.of("flamingopitch/progress/", "{}"),
                Arguments.of(PROGRESS + "/x", "{}"),
                Arguments.of(PROGRESS + "/99999999999", "{}"),
                Arguments.of(PROGRESS + "/-1", "{}"));
        return Stream.of(unreadable, learned, jobs, keys).flatMap(each -> each);
    }

    static Stream<String> progress() {
        return Stream.of(
                "null",
                "{\"tasks\":[null]}",
                "{\"tasks\":[{\"step\":-1,\"run\":1}]}",
                "{\"tasks\":[{\"occurrence\":7,\"run\":1}]}",
                "{\"tasks\":[{\"index\":2147483647,\"run\":1}]}",
                "{\"tasks\":[{\"run\":99999999999}]}",
                "{\"tasks\":[{\"run\":1,\"worker\":\"\"}]}",
                "{\"tasks\":[{\"run\":1,\"failedRuns\":[null]}]}",
                "{\"tasks\":[{\"run\":1,\"earlier\":{}}]}",
                "{\"tasks\":[{\"run\":1,\"worker\":\"w1\",\"earlier\":{\"run\":1}}]}");
    }

    private void put(String key, String value) {
        KeyValueRequest.Write write = new KeyValueRequest.Write(key, value, null);
        session.store().apply(new KeyValueRequest.Transaction(List.of(), List.of(write), List.of()));
    }

    private void expectOtherJobRuns() {
        session.addWorker("w1", 4_000);
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
        List<CallerReply> replies =
                session.call("h1", new CallerOperation.Submit(CellSession.job(2, 500, false)), "/q/00000000000000aa");
        session.advance(Duration.ofSeconds(1));
        assertThat(replies).containsExactly(new CallerReply.Done());
        assertThat(session.running("00000000000000aa")).hasSize(2);
    }

    @ParameterizedTest
    @MethodSource("records")
    void otherJobsAreServedBesideARecordThatCannotBeRestored(String key, String value) {
        put(key, value);
        expectOtherJobRuns();
    }

    @ParameterizedTest
    @MethodSource("progress")
    void otherJobsAreServedBesideProgressThatCannotBeRestored(String value) {
        put(JOB, VALID_JOB);
        put(PROGRESS, value);
        expectOtherJobRuns();
    }
}
