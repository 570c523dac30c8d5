package org.flamingopitch.scheduler.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.UnaryOperator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against checks that cannot fail: with one safeguard removed, the fault matrix must report the violation. */
final class InjectedDefectTest {

    @ParameterizedTest
    @EnumSource(value = InjectedDefect.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void detectsTheViolationWhenASafeguardIsRemoved(InjectedDefect defect) {
        FaultMatrix matrix = new FaultMatrix(Deployment.SMALL, script(defect), UnaryOperator.identity(), defect);
        assertThat(matrix.detects(defect.violatedGuarantee(), defect.revealingFault()))
                .as("the matrix detects a violation of %s with %s", defect.violatedGuarantee(), defect.revealingFault())
                .isTrue();
    }

    private static SessionScript script(InjectedDefect defect) {
        return defect.violatedGuarantee() == Guarantee.CAPACITY ? SessionScript.SATURATED : SessionScript.MIXED;
    }
}
