package org.flamingopitch.daemon.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Load: more events than the buffer holds while the reader of the log stands still. */
final class BoundedLogHandlerTest {

    private static final int CAPACITY = 10;

    private static final int EVENTS = 50;

    private final CountDownLatch reading = new CountDownLatch(1);

    private final ByteArrayOutputStream lines = new ByteArrayOutputStream();

    private final OutputStream slowReader = new OutputStream() {
        @Override
        public void write(int value) {
            throw new UnsupportedOperationException("lines are written in one piece");
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            try {
                reading.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            lines.write(bytes, offset, length);
        }
    };

    private final BoundedLogHandler handler = new BoundedLogHandler(
            slowReader,
            new Formatter() {
                @Override
                public String format(LogRecord record) {
                    return record.getMessage() + "\n";
                }
            },
            CAPACITY);

    private String text() {
        return lines.toString(StandardCharsets.UTF_8);
    }

    @Test
    @Timeout(20)
    void dropsAndCountsInsteadOfWaitingForTheReader() {
        handler.start();
        for (int i = 0; i < EVENTS; i++) {
            handler.publish(new LogRecord(Level.INFO, "event=e" + i));
        }
        assertThat(handler.dropped()).isGreaterThanOrEqualTo(EVENTS - 2 * CAPACITY - 1);
        reading.countDown();
        Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(() -> text().contains("event=log_dropped count=" + handler.dropped()));
        assertThat(text()).startsWith("event=e0\n");
        handler.stop();
    }

    @Test
    @Timeout(20)
    void writesTheLastRecordsWhenItStops() {
        reading.countDown();
        handler.start();
        handler.publish(new LogRecord(Level.INFO, "event=last"));
        handler.stop();
        assertThat(text()).isEqualTo("event=last\n");
    }
}
