package org.flamingopitch.daemon.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The example files pass the product's own check. */
final class ExamplesTest {

    @ParameterizedTest
    @CsvSource({
        "--settings, settings.json",
        "--configuration, miniaturas-configuration.json",
        "--configuration, sondhya-configuration.json",
    })
    void passesTheCheck(String option, String file) {
        ExitCode code = Main.run(new String[] {"check", option, "../examples/" + file});
        assertThat(code).isEqualTo(ExitCode.OK);
    }
}
