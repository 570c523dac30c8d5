package org.flamingopitch.daemon.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The check command accepts the files in examples/. */
final class ExamplesTest {

    @ParameterizedTest
    @CsvSource({
        "--settings, settings.json",
        "--configuration, miniaturas-configuration.json",
        "--configuration, sondhya-configuration.json",
    })
    void exampleFilePassesCheck(String option, String file) {
        ExitCode code = Main.run(new String[] {"check", option, "../examples/" + file});
        assertThat(code).isEqualTo(ExitCode.OK);
    }
}
