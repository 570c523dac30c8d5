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
 * Asynchronous log handler: buffers records in a bounded queue and writes them in batches from its own thread. Records
 * that do not fit into the queue are dropped and counted, so that a blocked output or a burst of records never blocks
 * the thread that logs.
 */
public final class BoundedLogHandler extends Handler implements Service {

    /** Holds several seconds of records of a busy host, in less than 4 MB. */
    private static final int MAX_BUFFERED_RECORDS = 4_096;

    /** Records that arrive within this time are written together, because each write is charged. */
    private static final Duration BATCH_INTERVAL = Duration.ofMillis(100);

    /** Longest time that {@link #stop} waits until the buffered records are written. */
    private static final Duration FLUSH_TIMEOUT = Duration.ofMillis(200);

    private final BlockingQueue<LogRecord> queue;

    private final OutputStream output;

    private final AtomicLong dropped = new AtomicLong();

    private final CountDownLatch stopping = new CountDownLatch(1);

    private final Thread writer = new Thread(this::writeBatches, "log");

    private long reportedDropCount;

    /**
     * Creates a handler that is not started yet.
     *
     * @param output the stream to which the lines are written
     * @param formatter formats a record as a line
     */
    public BoundedLogHandler(OutputStream output, Formatter formatter) {
        this(output, formatter, MAX_BUFFERED_RECORDS);
    }

    BoundedLogHandler(OutputStream output, Formatter formatter, int capacity) {
        this.output = output;
        this.queue = new ArrayBlockingQueue<>(capacity);
        setFormatter(formatter);
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

    /** Writes the buffered records and stops; returns after {@link #FLUSH_TIMEOUT} at the latest. */
    @Override
    public void stop() {
        stopping.countDown();
        writer.interrupt();
        try {
            writer.join(FLUSH_TIMEOUT.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Returns the number of records that were dropped because the queue was full.
     *
     * @return the number since the start of the process
     */
    public long droppedRecords() {
        return dropped.get();
    }

    @Override
    public void publish(LogRecord record) {
        if (isLoggable(record) && !queue.offer(record)) {
            dropped.incrementAndGet();
        }
    }

    @Override
    public void flush() {
        // The writer thread flushes after each batch; a caller must not be blocked by it.
    }

    @Override
    public void close() {
        stop();
    }

    private void writeBatches() {
        List<LogRecord> batch = new ArrayList<>();
        boolean running = true;
        while (running) {
            try {
                batch.add(queue.take());
                running = !stopping.await(BATCH_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                running = false;
            }
            queue.drainTo(batch);
            writeBatch(batch);
            batch.clear();
        }
    }

    private void writeBatch(List<LogRecord> batch) {
        StringBuilder text = new StringBuilder();
        batch.forEach(record -> text.append(getFormatter().format(record)));
        long dropCount = dropped.get();
        if (dropCount > reportedDropCount) {
            text.append("event=log_dropped count=")
                    .append(dropCount - reportedDropCount)
                    .append(" total=")
                    .append(dropCount)
                    .append('\n');
            reportedDropCount = dropCount;
        }
        try {
            output.write(text.toString().getBytes(StandardCharsets.UTF_8));
            output.flush();
        } catch (IOException e) {
            reportError("a batch of log records could not be written and is lost", e, ErrorManager.WRITE_FAILURE);
        }
    }
}
