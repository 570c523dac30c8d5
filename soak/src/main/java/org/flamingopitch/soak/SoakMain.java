package org.flamingopitch.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.stream.Stream;

/** Plays seeds one after the other, and prints a line for each. Started by {@code bench/soak}. */
public final class SoakMain {

    private static final int PASSED = 0;

    private static final int RULE_BROKEN = 1;

    private static final int NOT_PLAYED = 2;

    private SoakMain() {}

    /**
     * Plays seeds; the exit code is 1 if a rule is broken and 2 if a seed could not be played.
     *
     * @param arguments the directory of the project, the directory of the logs, and the seeds
     * @throws IOException if logs cannot be written or deleted
     */
    public static void main(String[] arguments) throws IOException {
        int status = PASSED;
        for (String seed : List.of(arguments).subList(2, arguments.length)) {
            Path directory = Path.of(arguments[1], "seed-" + seed);
            try {
                SoakResult result = play(Long.parseLong(seed), Path.of(arguments[0]), directory);
                System.out.println(result.line());
                if (result.passed()) {
                    delete(directory);
                } else {
                    status = Math.max(status, RULE_BROKEN);
                }
            } catch (IOException | ExecutionException e) {
                System.out.println("seed " + seed + " not played: " + e.getMessage() + "; logs: " + directory);
                status = NOT_PLAYED;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                status = NOT_PLAYED;
                break;
            }
        }
        System.exit(status);
    }

    /** Plays a seed and leaves its logs in the directory. */
    static SoakResult play(long seed, Path root, Path directory)
            throws IOException, InterruptedException, ExecutionException {
        // Without it, the answers of the stand-ins wait for delayed acknowledgements.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        return new Soak(seed, root, directory, new Timeline(System::nanoTime, Clock.systemUTC())).play();
    }

    static void delete(Path directory) throws IOException {
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
