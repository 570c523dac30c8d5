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

/**
 * Guards against logging threads that block when more records arrive than the buffer holds and the reader of the output
 * is stopped, and against records lost at shutdown.
 */
final class BoundedLogHandlerTest {

    private static final int CAPACITY = 10;

    private static final int RECORD_COUNT = 50;

    private final CountDownLatch outputReleased = new CountDownLatch(1);

    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    private final OutputStream blockedOutput = new OutputStream() {
        @Override
        public void write(int value) {
            throw new UnsupportedOperationException("records are written in batches, not byte by byte");
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            try {
                outputReleased.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            written.write(bytes, offset, length);
        }
    };

    private final BoundedLogHandler handler = new BoundedLogHandler(
            blockedOutput,
            new Formatter() {
                @Override
                public String format(LogRecord record) {
                    return record.getMessage() + "\n";
                }
            },
            CAPACITY);

    private String writtenText() {
        return written.toString(StandardCharsets.UTF_8);
    }

    @Test
    @Timeout(20)
    void recordsAreDroppedAndCountedWhenBufferIsFullAndOutputBlocks() {
        handler.start();
        for (int i = 0; i < RECORD_COUNT; i++) {
            handler.publish(new LogRecord(Level.INFO, "event=e" + i));
        }
        assertThat(handler.droppedRecords()).isGreaterThanOrEqualTo(RECORD_COUNT - 2 * CAPACITY - 1);
        outputReleased.countDown();
        Awaitility.await()
                .atMost(Duration.ofSeconds(10))
                .until(() -> writtenText().contains("event=log_dropped count=" + handler.droppedRecords()));
        assertThat(writtenText()).startsWith("event=e0\n");
        handler.stop();
    }

    @Test
    @Timeout(20)
    void stopWritesBufferedRecords() {
        outputReleased.countDown();
        handler.start();
        handler.publish(new LogRecord(Level.INFO, "event=last"));
        handler.stop();
        assertThat(writtenText()).isEqualTo("event=last\n");
    }
}
