package org.flamingopitch.daemon.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.ErrorManager;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import org.flamingopitch.coordination.supervisor.Service;

/**
 * Writes log records from a thread of its own, many at a time. A full buffer drops records and counts them, so that a
 * reader that stands still, or a flood of events, never holds up the thread that logs.
 */
public final class BoundedLogHandler extends Handler implements Service {

    /** Some seconds of records on the busiest hosts measured, and less than 4 MB. */
    private static final int CAPACITY = 4_096;

    /** Records that follow within this time are written together: each write is charged. */
    private static final Duration COLLECT_TIME = Duration.ofMillis(100);

    /** How long a process that ends waits for its last records. */
    private static final Duration FLUSH_TIME = Duration.ofMillis(200);

    private final BlockingQueue<LogRecord> records;

    private final OutputStream output;

    private final AtomicLong dropped = new AtomicLong();

    private final CountDownLatch stopping = new CountDownLatch(1);

    private final Thread writer = new Thread(this::writeAll, "log");

    private long reportedDrops;

    /**
     * Creates a handler.
     *
     * @param output where the lines go
     * @param format makes a line of a record
     */
    public BoundedLogHandler(OutputStream output, Formatter format) {
        this(output, format, CAPACITY);
    }

    BoundedLogHandler(OutputStream output, Formatter format, int capacity) {
        this.output = output;
        this.records = new ArrayBlockingQueue<>(capacity);
        setFormatter(format);
        writer.setDaemon(true);
    }

    @Override
    public String name() {
        return "log";
    }

    @Override
    public void start() {
        writer.start();
    }

    /** Writes what waits, for a short time, and ends. */
    @Override
    public void stop() {
        stopping.countDown();
        writer.interrupt();
        try {
            writer.join(FLUSH_TIME.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns how many records were dropped because the buffer was full.
     *
     * @return the number since the start
     */
    public long dropped() {
        return dropped.get();
    }

    @Override
    public void publish(LogRecord record) {
        if (isLoggable(record) && !records.offer(record)) {
            dropped.incrementAndGet();
        }
    }

    @Override
    public void flush() {
        // The writer flushes after each batch; a caller must not wait for it.
    }

    @Override
    public void close() {
        stop();
    }

    private void writeAll() {
        List<LogRecord> batch = new ArrayList<>();
        boolean running = true;
        while (running) {
            try {
                batch.add(records.take());
                running = !stopping.await(COLLECT_TIME.toMillis(), TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                running = false;
            }
            records.drainTo(batch);
            write(batch);
            batch.clear();
        }
    }

    private void write(List<LogRecord> batch) {
        StringBuilder text = new StringBuilder();
        batch.forEach(record -> text.append(getFormatter().format(record)));
        long drops = dropped.get();
        if (drops > reportedDrops) {
            text.append("event=log_dropped count=")
                    .append(drops - reportedDrops)
                    .append(" total=")
                    .append(drops)
                    .append('\n');
            reportedDrops = drops;
        }
        try {
            output.write(text.toString().getBytes(StandardCharsets.UTF_8));
            output.flush();
        } catch (IOException e) {
            reportError("log lines cannot be written", e, ErrorManager.WRITE_FAILURE);
        }
    }
}
