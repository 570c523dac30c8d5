package org.flamingopitch.soak;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what the soak injected and what its callers and workers saw to a file. */
final class EventLog implements AutoCloseable {

    private final Timeline timeline;

    private final PrintWriter out;

    EventLog(Timeline timeline, Path file) throws IOException {
        this.timeline = timeline;
        this.out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String format, Object... values) {
        out.printf(Locale.ROOT, "%8d  %s%n", timeline.millis(), String.format(Locale.ROOT, format, values));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
