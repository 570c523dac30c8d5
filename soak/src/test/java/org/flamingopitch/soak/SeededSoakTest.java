package org.flamingopitch.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Plays one seed against the real processes. */
final class SeededSoakTest {

    private static final long SEED = 1;

    @Test
    @Timeout(300)
    void realProcessesBreakNoRuleUnderOverlappingFaults() throws Exception {
        Path root = Path.of(System.getProperty("soak.root"));
        assertThat(root.resolve("target/flamingopitch.jar")).exists();
        // The logs of a failing run stay, so the directory is not a temporary one of the test.
        Path directory = Files.createTempDirectory("soak");
        SoakResult result = SoakMain.play(SEED, root, directory);
        assertThat(result.broken()).as(result.line()).isEmpty();
        assertThat(result.starts()).as(result.line()).isPositive();
        assertThat(result.faults()).as(result.line()).isNotEmpty();
        SoakMain.delete(directory);
    }
}
