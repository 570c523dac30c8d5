import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a script: what was sent, answered and run, with the time since the start of the script. */
final class Record {

    private static final long START = System.nanoTime();

    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        out.printf(Locale.ROOT, "%8.3f %s%n", now() / 1000.0, String.format(Locale.ROOT, format, values));
    }
}
