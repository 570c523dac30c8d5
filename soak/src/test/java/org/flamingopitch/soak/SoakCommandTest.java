package org.flamingopitch.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that the command {@code bench/soak} explains wrong arguments and plays nothing then. */
final class SoakCommandTest {

    private static final int INVALID_ARGUMENTS = 2;

    @Test
    void seedThatIsNoNumberIsRejectedBeforeAnyIsPlayed() throws Exception {
        assertThat(outputOf(INVALID_ARGUMENTS, "1", "two")).isEqualTo("soak: \"two\" is not a seed\n");
    }

    @Test
    void missingSeedsAreAnsweredWithTheUsage() throws Exception {
        assertThat(outputOf(INVALID_ARGUMENTS)).startsWith("usage: bench/soak");
    }

    @Test
    void logsWithoutADirectoryAreRejected() throws Exception {
        assertThat(outputOf(INVALID_ARGUMENTS, "--logs")).isEqualTo("soak: --logs has no value\n");
    }

    @Test
    void unknownOptionIsRejected() throws Exception {
        assertThat(outputOf(INVALID_ARGUMENTS, "--hosts", "3")).isEqualTo("soak: \"--hosts\" is not a seed\n");
    }

    private static String outputOf(int expectedStatus, String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("soak.root"), "bench", "soak").toString());
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.waitFor()).as(output).isEqualTo(expectedStatus);
        return output;
    }
}
