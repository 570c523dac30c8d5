package org.flamingopitch.bench.compare;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.offset;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A failed play that is left out unnoticed, or noise that is taken for a gain, would keep a change that is none. */
final class CompareMainTest {

    @TempDir
    private Path directory;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private void write(String name, double worth, String breaks) throws IOException {
        String report =
                "{\"G\":" + worth + ",\"served\":0.8,\"refused\":0,\"failed\":0,\"fault\":null,\"breaks\":" + breaks
                        + ",\"parts\":[[\"worst windows\",0.5,0.4],[\"worst class\",0.15,0.7]],"
                        + "\"prices\":[[\"core-seconds of work thrown away\",198.2,0.0026]]}";
        Files.writeString(directory.resolve(name), report);
    }

    private int run(String... arguments) {
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        return CompareMain.run(arguments, stream, stream);
    }

    private String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void gainInAllPairsIsBetter() throws IOException {
        for (int seed = 1; seed <= 3; seed++) {
            write("scale-1." + seed + ".baseline.json", 0.5 + 0.1 * seed, "{}");
            write("scale-1." + seed + ".candidate.json", 0.54 + 0.1 * seed + 0.001 * seed, "{}");
        }
        assertThat(run("--reports", directory.toString())).isZero();
        assertThat(output())
                .contains("all days       worth                    3")
                .contains("better");
    }

    @Test
    void differencesThatVaryMoreThanTheirMeanCannotTell() {
        PairedDifference difference = PairedDifference.of(List.of(0.1, -0.08, 0.05, -0.02));
        assertThat(difference.mean()).isEqualTo(0.0125, offset(1e-9));
        // t(0.975, 3) = 3.182 times the standard deviation 0.0789 over the root of 4
        assertThat(difference.halfWidth()).isEqualTo(0.1255, offset(1e-4));
        assertThat(difference.verdict()).isEqualTo("can't tell");
        assertThat(PairedDifference.of(List.of(0.3)).verdict()).isEqualTo("can't tell");
    }

    @Test
    void brokenRuleMissingCounterpartAndCutReportAreNamed() throws IOException {
        write("scale-1.1.baseline.json", 0.5, "{}");
        write("scale-1.1.candidate.json", 0, "{\"TWICE\":1}");
        write("scale-1.2.baseline.json", 0.5, "{}");
        Files.writeString(directory.resolve("scale-1.3.candidate.json"), "{\"G\":0.5,");
        assertThat(run("--reports", directory.toString())).isEqualTo(1);
        assertThat(output())
                .contains("failed: scale-1 1 candidate: broken rules {\"TWICE\":1}")
                .contains("failed: scale-1 2: only one of the two plays has a report")
                .contains("failed: scale-1 3 candidate: unreadable report");
    }

    @Test
    void invalidArgumentsAreAUsageError() {
        assertThat(run()).isEqualTo(2);
        assertThat(run("--reports", directory.resolve("missing").toString())).isEqualTo(2);
        assertThat(output()).contains("--reports is missing").contains("cannot read or write");
    }
}
