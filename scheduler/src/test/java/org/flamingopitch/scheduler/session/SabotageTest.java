package org.flamingopitch.scheduler.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.UnaryOperator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Each check can fail: with one safeguard taken away, the matrix sees the promise break. */
final class SabotageTest {

    @ParameterizedTest
    @EnumSource(value = Sabotage.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void matrixSeesTheBrokenPromise(Sabotage sabotage) {
        FaultMatrix matrix = new FaultMatrix(Deployment.SMALL, script(sabotage), UnaryOperator.identity(), sabotage);
        assertThat(matrix.sees(sabotage.breaks(), sabotage.under()))
                .as("the matrix sees %s break under %s", sabotage.breaks(), sabotage.under())
                .isTrue();
    }

    private static SessionScript script(Sabotage sabotage) {
        return sabotage.breaks() == Promise.CAPACITY ? SessionScript.SATURATED : SessionScript.MIXED;
    }
}
