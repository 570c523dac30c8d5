package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Answers on a calm day must not wait for the store because an owner may have been replaced unnoticed. */
final class AnswerTimeTest {

    private static final int REQUESTS = 100;

    /** The latency of a call between hosts and of one to the store is 3 ms one way, the clock advances by 5 ms. */
    private static final Duration TICK = Duration.ofMillis(5);

    private final CellSession session = new CellSession();

    private String owner;

    @BeforeEach
    void startJobs() {
        session.addWorker("w1", 200_000);
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
        for (int i = 0; i < REQUESTS; i++) {
            session.call("h1", new CallerOperation.Submit(CellSession.job(1, 10, true)), path(i));
        }
        session.advance(Duration.ofSeconds(2));
        owner = session.store().value("flamingopitch/owner/cell").contains("h1") ? "h1" : "h2";
    }

    private static String path(int number) {
        return String.format("/q/%016x", number);
    }

    private Duration longestAnswerTime(CallerOperation operation, boolean atOwner, boolean known) {
        String host = atOwner ? owner : "h1".equals(owner) ? "h2" : "h1";
        Duration longest = Duration.ZERO;
        for (int i = 0; i < REQUESTS; i++) {
            List<CallerReply> replies = session.call(host, operation, path(known ? i : REQUESTS + i));
            Duration time = Duration.ZERO;
            while (replies.isEmpty() && time.compareTo(Duration.ofSeconds(3)) < 0) {
                session.advance(TICK);
                time = time.plus(TICK);
            }
            longest = time.compareTo(longest) > 0 ? time : longest;
            session.advance(Duration.ofMillis(37));
        }
        return longest;
    }

    @ParameterizedTest
    @CsvSource({
        "true, true, 0",
        "false, true, 20",
        "true, false, 20",
        "false, false, 30",
    })
    void stateIsAnsweredWithoutAWaitBeyondOneRoundTrip(boolean atOwner, boolean known, long maxMillis) {
        Duration longest = longestAnswerTime(new CallerOperation.Ask(), atOwner, known);
        assertThat(longest).isLessThanOrEqualTo(Duration.ofMillis(maxMillis));
    }

    /** A cancel of a known job is answered when it is durable, so that it waits for a commit. */
    @ParameterizedTest
    @CsvSource({
        "true, true, 150",
        "false, true, 160",
        "true, false, 20",
        "false, false, 30",
    })
    void cancelIsAnsweredWithoutAWaitBeyondOneRoundTrip(boolean atOwner, boolean known, long maxMillis) {
        Duration longest = longestAnswerTime(new CallerOperation.Cancel(), atOwner, known);
        assertThat(longest).isLessThanOrEqualTo(Duration.ofMillis(maxMillis));
    }
}
