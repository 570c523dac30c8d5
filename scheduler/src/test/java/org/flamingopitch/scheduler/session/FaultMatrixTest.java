package org.flamingopitch.scheduler.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Every promise holds under each fault at each step, and under pairs of faults. */
final class FaultMatrixTest {

    private static final String STRIDE = "matrix.stride";

    private static final String PAIRS = "matrix.pairs";

    private static final String SEED = "matrix.seed";

    private static final int CI_PAIRS = 1_500;

    private static final int CI_SEED = 20_260_105;

    private static final int SATURATED_STRIDE = 29;

    private static final int LARGE_STRIDE = 499;

    @Test
    void keepsEveryPromiseUnderEachFaultAtEachStep() {
        FaultMatrix matrix = matrix(Deployment.SMALL, SessionScript.MIXED);
        matrix.runSingles(Integer.getInteger(STRIDE, 1), 0);
        assertNoneFailed(matrix);
    }

    @Test
    void keepsEveryPromiseUnderEachFaultWhenSaturated() {
        FaultMatrix matrix = matrix(Deployment.SMALL, SessionScript.SATURATED);
        matrix.runSingles(Integer.getInteger(STRIDE, SATURATED_STRIDE), 0);
        assertNoneFailed(matrix);
    }

    @ParameterizedTest
    @EnumSource(SessionScript.class)
    void keepsEveryPromiseUnderPairsOfFaults(SessionScript script) {
        FaultMatrix matrix = matrix(Deployment.SMALL, script);
        matrix.runPairs(Integer.getInteger(PAIRS, CI_PAIRS), Integer.getInteger(SEED, CI_SEED));
        assertNoneFailed(matrix);
    }

    @ParameterizedTest
    @EnumSource(value = Deployment.class, names = "SMALL", mode = EnumSource.Mode.EXCLUDE)
    void keepsEveryPromiseAtTheSizesOfToday(Deployment deployment) {
        FaultMatrix matrix = matrix(deployment, SessionScript.MIXED);
        matrix.runSingles(Integer.getInteger(STRIDE, LARGE_STRIDE), 0);
        assertNoneFailed(matrix);
    }

    private static FaultMatrix matrix(Deployment deployment, SessionScript script) {
        return new FaultMatrix(deployment, script, UnaryOperator.identity(), Sabotage.NONE);
    }

    private static void assertNoneFailed(FaultMatrix matrix) {
        System.out.print(matrix.table());
        assertThat(matrix.failures()).isEmpty();
    }
}
