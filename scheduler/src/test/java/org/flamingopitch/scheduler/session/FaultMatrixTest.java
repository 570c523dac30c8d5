package org.flamingopitch.scheduler.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Every guarantee holds with each fault at each step, and with pairs of faults. */
final class FaultMatrixTest {

    private static final String STRIDE_PROPERTY = "matrix.stride";

    private static final String PAIRS_PROPERTY = "matrix.pairs";

    private static final String SEED_PROPERTY = "matrix.seed";

    private static final int DEFAULT_PAIRS = 1_500;

    private static final int DEFAULT_SEED = 20_260_105;

    private static final int DEFAULT_SATURATED_STRIDE = 29;

    private static final int DEFAULT_LARGE_STRIDE = 499;

    @Test
    void upholdsEveryGuaranteeUnderEachFaultAtEachStep() {
        FaultMatrix matrix = matrix(Deployment.SMALL, SessionScript.MIXED);
        matrix.runSingleFaults(Integer.getInteger(STRIDE_PROPERTY, 1), 0);
        assertNoFailures(matrix);
    }

    @Test
    void upholdsEveryGuaranteeUnderEachFaultWhenSaturated() {
        FaultMatrix matrix = matrix(Deployment.SMALL, SessionScript.SATURATED);
        matrix.runSingleFaults(Integer.getInteger(STRIDE_PROPERTY, DEFAULT_SATURATED_STRIDE), 0);
        assertNoFailures(matrix);
    }

    @ParameterizedTest
    @EnumSource(SessionScript.class)
    void upholdsEveryGuaranteeUnderPairsOfFaults(SessionScript script) {
        FaultMatrix matrix = matrix(Deployment.SMALL, script);
        matrix.runFaultPairs(
                Integer.getInteger(PAIRS_PROPERTY, DEFAULT_PAIRS), Integer.getInteger(SEED_PROPERTY, DEFAULT_SEED));
        assertNoFailures(matrix);
    }

    @ParameterizedTest
    @EnumSource(value = Deployment.class, names = "SMALL", mode = EnumSource.Mode.EXCLUDE)
    void upholdsEveryGuaranteeInLargeDeployments(Deployment deployment) {
        FaultMatrix matrix = matrix(deployment, SessionScript.MIXED);
        matrix.runSingleFaults(Integer.getInteger(STRIDE_PROPERTY, DEFAULT_LARGE_STRIDE), 0);
        assertNoFailures(matrix);
    }

    private static FaultMatrix matrix(Deployment deployment, SessionScript script) {
        return new FaultMatrix(deployment, script, UnaryOperator.identity(), InjectedDefect.NONE);
    }

    private static void assertNoFailures(FaultMatrix matrix) {
        System.out.print(matrix.formatTable());
        assertThat(matrix.failures()).isEmpty();
    }
}
