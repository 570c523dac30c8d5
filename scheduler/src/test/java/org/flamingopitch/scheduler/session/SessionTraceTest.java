package org.flamingopitch.scheduler.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** Checks one case of the fault matrix; if {@code -Dmatrix.cell=FAULT@STEP,FAULT@STEP} selects it, prints its trace. */
final class SessionTraceTest {

    private static final String FAULTS_PROPERTY = "matrix.cell";

    private static final String DEFAULT_FAULTS = "PROCESS_KILLED@391";

    private static final String SCRIPT_PROPERTY = "matrix.script";

    @Test
    void upholdsEveryGuaranteeUnderTheGivenFaults() {
        List<ScheduledFault> faults = new ArrayList<>();
        for (String part : System.getProperty(FAULTS_PROPERTY, DEFAULT_FAULTS).split(",")) {
            String[] words = part.split("@");
            faults.add(new ScheduledFault(Fault.valueOf(words[0]), Integer.parseInt(words[1])));
        }
        Session session = new FaultMatrix(
                        Deployment.SMALL,
                        SessionScript.valueOf(System.getProperty(SCRIPT_PROPERTY, SessionScript.MIXED.name())),
                        UnaryOperator.identity(),
                        InjectedDefect.NONE)
                .run(faults);
        if (System.getProperty(FAULTS_PROPERTY) != null) {
            session.log().lines().forEach(System.out::println);
        }
        assertThat(SessionCheck.check(session)).isEmpty();
    }
}
