package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Plays a burst of submissions while the store is away. Callers that are held until their deadline have no time left for
 * another attempt; a refused job that runs all the same would run twice.
 */
final class StoreOutageSessionTest {

    /** The time in which a caller is to know that it must come back. */
    private static final Duration PROMPT = Duration.ofMillis(600);

    private static final Duration INTERVAL = Duration.ofMillis(50);

    private final CellSession session = new CellSession();

    private final Map<String, List<CallerReply>> replies = new LinkedHashMap<>();

    @BeforeEach
    void start() {
        session.addWorker("w1", 64_000);
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
    }

    private void submit(String host, int number) {
        String id = String.format("%016x", number);
        replies.put(id, session.call(host, new CallerOperation.Submit(CellSession.job(1, 100, true)), "/q/" + id));
    }

    /** Submits a job each 50 ms, through both hosts in turn. */
    private void submitFor(Duration time) {
        for (long passed = 0; passed < time.toMillis(); passed += INTERVAL.toMillis()) {
            submit(replies.size() % 2 == 0 ? "h1" : "h2", replies.size() + 1);
            session.advance(INTERVAL);
        }
    }

    private List<String> repliedWith(Class<? extends CallerReply> kind) {
        List<String> ids = new ArrayList<>();
        replies.forEach((id, received) -> {
            if (received.stream().anyMatch(kind::isInstance)) {
                ids.add(id);
            }
        });
        return ids;
    }

    private String owner() {
        return session.store().value("flamingopitch/owner/cell").contains("h1") ? "h1" : "h2";
    }

    private List<String> startedJobs() {
        return session.worker("w1").started().stream()
                .map(run -> run.substring(0, 16))
                .toList();
    }

    /** Checks that refused jobs have not run and are not stored, and that each of them can be submitted again. */
    private void assertRefusalsAreTrue() {
        List<String> refused = repliedWith(CallerReply.Refused.class);
        session.advance(Duration.ofSeconds(5));
        assertThat(startedJobs()).doesNotContainAnyElementsOf(refused).doesNotHaveDuplicates();
        refused.forEach(id ->
                assertThat(session.store().value("flamingopitch/job/" + id)).isNull());
        replies.clear();
        refused.forEach(id -> submit("h1", (int) Long.parseLong(id, 16)));
        session.advance(Duration.ofSeconds(2));
        assertThat(repliedWith(CallerReply.Done.class)).hasSameElementsAs(refused);
        assertThat(startedJobs()).containsAll(refused).doesNotHaveDuplicates();
    }

    @Test
    void silentStoreLeavesOneTransactionInDoubtAndRefusesAllOthersAtOnce() {
        session.store().setUnavailable(true);
        submitFor(Duration.ofMillis(1_500));
        session.advance(PROMPT);
        assertThat(repliedWith(CallerReply.Refused.class)).hasSize(replies.size() - 1);
        session.store().setUnavailable(false);
        session.advance(Duration.ofSeconds(1));
        assertThat(repliedWith(CallerReply.Done.class)).containsExactly(String.format("%016x", 1));
        assertRefusalsAreTrue();
    }

    @Test
    void resetConnectionsLeaveOneTransactionInDoubtThoughLateCopiesAreExecuted() {
        session.setStoreConnectionsReset(true);
        submitFor(Duration.ofSeconds(2));
        session.advance(PROMPT);
        assertThat(repliedWith(CallerReply.Refused.class)).hasSize(replies.size() - 1);
        session.setStoreConnectionsReset(false);
        session.advance(Duration.ofSeconds(1));
        assertRefusalsAreTrue();
    }

    @Test
    void lostAnswersKeepRefusalsTrue() {
        session.store().setAnswersLost(true);
        submitFor(Duration.ofSeconds(2));
        session.store().setAnswersLost(false);
        session.advance(PROMPT);
        assertRefusalsAreTrue();
    }

    @Test
    void slowStoreRefusesNobody() {
        session.varyStoreLatency(Duration.ofMillis(380));
        submitFor(Duration.ofSeconds(4));
        session.advance(Duration.ofSeconds(3));
        assertThat(repliedWith(CallerReply.Done.class)).hasSameElementsAs(replies.keySet());
    }

    @Test
    void twoOutagesInTenSecondsAreBothNoticed() {
        for (int i = 0; i < 2; i++) {
            session.store().setUnavailable(true);
            submitFor(Duration.ofSeconds(2));
            session.advance(PROMPT);
            session.store().setUnavailable(false);
            session.advance(Duration.ofSeconds(2));
        }
        // Only the job in the open transaction of each outage is in doubt.
        assertThat(repliedWith(CallerReply.Refused.class)).hasSize(replies.size() - 2);
        assertRefusalsAreTrue();
    }

    @Test
    void ownerThatIsKilledInAnOutageLeavesRefusalsTrue() {
        session.store().setUnavailable(true);
        submitFor(Duration.ofSeconds(1));
        List<String> refused = repliedWith(CallerReply.Refused.class);
        assertThat(refused).isNotEmpty();
        String killed = owner();
        session.killHost(killed);
        session.store().setUnavailable(false);
        session.store().endLeases();
        session.advance(Duration.ofSeconds(8));
        refused.forEach(id ->
                assertThat(session.store().value("flamingopitch/job/" + id)).isNull());
        assertThat(startedJobs()).doesNotContainAnyElementsOf(refused).doesNotHaveDuplicates();
    }

    @Test
    void cancelledJobThatWasNotSentIsNotRefused() {
        session.store().setUnavailable(true);
        submit("h1", 1);
        session.advance(INTERVAL);
        submit("h1", 2);
        session.advance(INTERVAL);
        List<CallerReply> cancelled =
                session.call("h1", new CallerOperation.Cancel(), "/q/" + String.format("%016x", 2));
        session.advance(PROMPT);
        assertThat(repliedWith(CallerReply.Refused.class)).isEmpty();
        session.store().setUnavailable(false);
        session.advance(Duration.ofSeconds(1));
        assertThat(cancelled).containsExactly(new CallerReply.Done());
        assertThat(startedJobs()).containsExactly(String.format("%016x", 1));
    }
}
