package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.flamingopitch.scheduler.cell.owner.CellKeys;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Without an owner no job runs, and the logs of jobs, which the owner writes, show nothing; a host must say so. */
final class NoOwnerLogTest {

    private final CellSession session = new CellSession();

    private final RecordedLog log = new RecordedLog("org.flamingopitch.scheduler.cell.entry.NoOwnerLogger");

    @AfterEach
    void stopRecording() {
        log.close();
    }

    @Test
    void hostLogsAndMeasuresTheTimeWithoutAnOwnerUntilThereIsOne() {
        session.store().setUnavailable(true);
        session.addHost("h1");
        session.advance(Duration.ofSeconds(10));
        assertThat(log.lines())
                .hasSizeBetween(3, 4)
                .allMatch(line -> line.matches("event=no_owner ms=[0-9]+ store_unreachable=true draining=false"));
        assertThat(session.metrics().timeWithoutOwner()).isBetween(Duration.ofSeconds(9), Duration.ofSeconds(11));
        session.store().setUnavailable(false);
        session.advance(Duration.ofSeconds(3));
        assertThat(session.node("h1").ownsCell()).isTrue();
        assertThat(session.metrics().timeWithoutOwner()).isZero();
        int lines = log.lines().size();
        session.advance(Duration.ofSeconds(5));
        assertThat(log.lines()).hasSize(lines);
    }

    @Test
    void usualTakeoverIsNotLogged() {
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
        session.store().endLeases();
        session.advance(Duration.ofSeconds(3));
        assertThat(session.store().value(CellKeys.OWNER)).isNotNull();
        assertThat(log.lines()).isEmpty();
    }
}
