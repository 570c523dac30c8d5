package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Without these log lines an analysis of the logs cannot tell which host took a job, and where its tasks started. */
final class AnalysisLogTest {

    private static final String JOB_ID = "00000000000000aa";

    /** Kept in a field, since the logging framework refers to loggers only weakly. */
    private final Logger logger = Logger.getLogger("org.flamingopitch.scheduler.cell");

    private final List<String> lines = new ArrayList<>();

    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord logged) {
            lines.add(logged.getMessage());
        }

        @Override
        public void flush() {
            // Nothing is buffered.
        }

        @Override
        public void close() {
            // Nothing is open.
        }
    };

    private final CellSession session = new CellSession();

    @BeforeEach
    void captureLog() {
        logger.addHandler(handler);
        session.addWorker("w1", 4_000);
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
    }

    @AfterEach
    void stopCapture() {
        logger.removeHandler(handler);
    }

    @Test
    void hostThatTookAJobLogsItsAcceptance() {
        List<CallerReply> reply =
                session.call("h1", new CallerOperation.Submit(CellSession.job(1, 1_000, false)), "/q/" + JOB_ID);
        assertThat(lines).noneMatch(line -> line.startsWith("event=accepted"));
        session.advance(Duration.ofMillis(300));
        assertThat(reply).containsExactly(new CallerReply.Done());
        assertThat(lines).containsOnlyOnce("event=accepted job=" + JOB_ID + " queue=q");
    }

    @Test
    void ownerLogsDataCentreAndLabelsOfAWorker() {
        assertThat(lines)
                .anyMatch(line -> line.startsWith("event=worker_entry worker=w1 ")
                        && line.endsWith(" data_centre=dc labels=a,r1"));
    }
}
