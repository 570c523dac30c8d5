package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that the pending count contains the jobs of which no task has begun, whatever was ordered. */
final class PendingCountSessionTest {

    private static final String JOB_ID = "00000000000000aa";

    private final CellSession session = new CellSession();

    @BeforeEach
    void startTwoHostsAndOneWorker() {
        session.store().setLeasesExpire(true);
        session.addWorker("w1", 4_000);
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
    }

    private void submit() {
        session.call("h1", new CallerOperation.Submit(CellSession.job(1, 1_000, false)), "/q/" + JOB_ID);
    }

    private String owner() {
        return session.node("h1").ownsCell() ? "h1" : "h2";
    }

    private void replaceOwner() {
        String former = owner();
        session.killHost(former);
        session.store().endLeases();
        session.advance(Duration.ofSeconds(3));
        session.addHost(former);
        session.advance(Duration.ofSeconds(1));
    }

    private long pending() {
        List<CallerReply> reply = session.call(owner(), new CallerOperation.Ask(), "/q/");
        session.advance(Duration.ofMillis(100));
        return ((CallerReply.Pending) reply.get(0)).count();
    }

    private JobState state() {
        List<CallerReply> reply = session.call(owner(), new CallerOperation.Ask(), "/q/" + JOB_ID);
        session.advance(Duration.ofMillis(100));
        return ((CallerReply.State) reply.get(0)).state();
    }

    @Test
    void jobWhoseStartsHadNoEffectIsPending() {
        session.worker("w1").setStartsLost(true);
        submit();
        session.advance(Duration.ofSeconds(6));
        assertThat(pending()).isEqualTo(1);
        assertThat(state()).isEqualTo(JobState.QUEUED);
    }

    @Test
    void jobWhoseRecordedStartHadNoEffectIsPendingAfterATakeover() {
        session.worker("w1").setStartsLost(true);
        submit();
        session.advance(Duration.ofMillis(300));
        replaceOwner();
        assertThat(pending()).isEqualTo(1);
    }

    @Test
    void jobIsNotPendingAfterItHasBegun() {
        submit();
        session.advance(Duration.ofMillis(300));
        assertThat(pending()).isZero();
        assertThat(state()).isEqualTo(JobState.RUNNING);
        replaceOwner();
        assertThat(pending()).isZero();
        assertThat(state()).isEqualTo(JobState.RUNNING);
    }

    /** Such a task waits for a start again, but its job has begun. */
    @Test
    void jobWithAFailedRunIsNotPendingAfterATakeover() {
        submit();
        session.advance(Duration.ofMillis(300));
        session.worker("w1").setStartsLost(true);
        session.worker("w1").running().forEach(task -> session.worker("w1").end(task, EndKind.FAILED));
        session.advance(Duration.ofSeconds(1));
        assertThat(pending()).isZero();
        replaceOwner();
        assertThat(pending()).isZero();
    }
}
