package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.junit.jupiter.api.Test;

/** Hosts of two versions run side by side during an upgrade; learned statistics may be missing, jobs may not. */
final class UnreadableStatisticsTest {

    @Test
    void ownerServesJobsThoughAnotherVersionStoredStatisticsThatItCannotRead() {
        CellSession session = new CellSession();
        KeyValueRequest.Write write =
                new KeyValueRequest.Write("flamingopitch/learned", "{\"durations\":[],\"unknown\":1}", null);
        session.store().apply(new KeyValueRequest.Transaction(List.of(), List.of(write), List.of()));
        session.addWorker("w1", 4_000);
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
        List<CallerReply> replies =
                session.call("h1", new CallerOperation.Submit(CellSession.job(1, 500, false)), "/q/00000000000000aa");
        session.advance(Duration.ofMillis(300));
        assertThat(replies).containsExactly(new CallerReply.Done());
    }
}
