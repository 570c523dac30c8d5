package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to a file, with milliseconds since the start of the case. */
final class Record {

    private final long startNanos = System.nanoTime();

    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        out.printf("%8d  %s%n", now(), String.format(format, values));
        out.flush();
    }
}
