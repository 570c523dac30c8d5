package org.flamingopitch.scheduler.cell;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Records the lines that a class logs, until it is closed. */
public final class RecordedLog implements AutoCloseable {

    private final Logger logger;

    private final List<String> lines = new CopyOnWriteArrayList<>();

    private final Handler recorder = new Handler() {
        @Override
        public void publish(LogRecord record) {
            lines.add(record.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    /**
     * Starts to record.
     *
     * @param type the class that logs
     */
    public RecordedLog(Class<?> type) {
        this(type.getName());
    }

    /**
     * Starts to record.
     *
     * @param typeName the full name of the class that logs
     */
    public RecordedLog(String typeName) {
        logger = Logger.getLogger(typeName);
        logger.addHandler(recorder);
    }

    /**
     * Returns the lines so far.
     *
     * @return the lines
     */
    public List<String> lines() {
        return lines;
    }

    @Override
    public void close() {
        logger.removeHandler(recorder);
    }
}
