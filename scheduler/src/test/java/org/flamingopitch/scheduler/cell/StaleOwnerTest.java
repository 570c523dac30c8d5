package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A former owner that does not know of its successor must not deny jobs that the successor has accepted. */
final class StaleOwnerTest {

    private static final String JOB_PATH = "/q/00000000000000aa";

    private final CellSession session = new CellSession();

    private String stale;

    private String successor;

    @BeforeEach
    void startTwoHosts() {
        session.store().setLeasesExpire(true);
        session.addWorker("w1", 4_000);
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
        stale = session.node("h1").ownsCell() ? "h1" : "h2";
        successor = stale.equals("h1") ? "h2" : "h1";
    }

    private void electSuccessorBehindTheOwnersBack() {
        session.partitions().cutFromStore(stale);
        session.advance(Duration.ofSeconds(4));
        assertThat(session.node(successor).ownsCell()).isTrue();
        assertThat(session.node(stale).ownsCell()).isTrue();
        session.call(successor, new CallerOperation.Submit(CellSession.job(1, 1_000, false)), JOB_PATH);
        session.advance(Duration.ofMillis(500));
        assertThat(session.worker("w1").running()).hasSize(1);
    }

    private List<CallerReply> askStale(CallerOperation operation) {
        return session.call(stale, operation, JOB_PATH);
    }

    @Test
    void ownerThatTheStoreTurnsAwayDoesNotDenyAJobThatIsToBeCancelled() {
        electSuccessorBehindTheOwnersBack();
        List<CallerReply> replies = askStale(new CallerOperation.Cancel());
        session.advance(Duration.ofSeconds(4));
        assertThat(replies).hasSize(1).allMatch(reply -> reply instanceof CallerReply.InDoubt);
    }

    @Test
    void ownerThatTheStoreTurnsAwayDoesNotDenyAJobWhoseStateIsAskedFor() {
        electSuccessorBehindTheOwnersBack();
        List<CallerReply> replies = askStale(new CallerOperation.Ask());
        session.advance(Duration.ofSeconds(4));
        assertThat(replies).hasSize(1).allMatch(reply -> reply instanceof CallerReply.InDoubt);
    }

    @Test
    void cancelThatWaitsIsCarriedOutByTheSuccessorWhenTheStoreAnswersAgain() {
        electSuccessorBehindTheOwnersBack();
        List<CallerReply> replies = askStale(new CallerOperation.Cancel());
        session.advance(Duration.ofMillis(500));
        session.partitions().reconnectToStore(stale);
        session.advance(Duration.ofSeconds(2));
        assertThat(replies).containsExactly(new CallerReply.Done());
        assertThat(session.worker("w1").running()).isEmpty();
    }

    @Test
    void ownerThatWasSuspendedDoesNotDenyAJob() {
        session.suspendHost(stale, Duration.ofSeconds(4));
        session.call(successor, new CallerOperation.Submit(CellSession.job(1, 1_000, false)), JOB_PATH);
        List<CallerReply> replies = askStale(new CallerOperation.Cancel());
        session.advance(Duration.ofSeconds(4));
        assertThat(replies).hasSize(1).noneMatch(reply -> reply instanceof CallerReply.NoJob);
    }

    /** The usual case must not wait for a renewal of the lease. */
    @Test
    void unknownJobIsDeniedWithinARoundTripToTheStore() {
        List<CallerReply> replies = askStale(new CallerOperation.Cancel());
        session.advance(Duration.ofMillis(50));
        assertThat(replies).containsExactly(new CallerReply.NoJob());
    }

    @Test
    void hostWhoseOwnerIsNotConfirmedIsNotReady() {
        session.partitions().cutFromStore(stale);
        assertThat(session.node(stale).ready()).isTrue();
        session.advance(Duration.ofSeconds(5));
        assertThat(session.node(stale).ready()).isFalse();
        session.partitions().reconnectToStore(stale);
        session.advance(Duration.ofSeconds(2));
        assertThat(session.node(stale).ready()).isTrue();
    }
}
