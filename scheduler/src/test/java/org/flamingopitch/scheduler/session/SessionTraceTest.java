package org.flamingopitch.scheduler.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** Checks one cell, and prints its session if it is named as {@code -Dmatrix.cell=FAULT@STEP,FAULT@STEP}. */
final class SessionTraceTest {

    private static final String CELL = "matrix.cell";

    private static final String DEFAULT_CELL = "PROCESS_KILLED@391";

    private static final String SCRIPT = "matrix.script";

    @Test
    void checksOneCell() {
        List<FaultAt> faults = new ArrayList<>();
        for (String part : System.getProperty(CELL, DEFAULT_CELL).split(",")) {
            String[] words = part.split("@");
            faults.add(new FaultAt(Fault.valueOf(words[0]), Integer.parseInt(words[1])));
        }
        Session session = new FaultMatrix(
                        Deployment.SMALL,
                        SessionScript.valueOf(System.getProperty(SCRIPT, SessionScript.MIXED.name())),
                        UnaryOperator.identity(),
                        Sabotage.NONE)
                .run(faults);
        if (System.getProperty(CELL) != null) {
            session.log().lines().forEach(System.out::println);
        }
        assertThat(SessionCheck.check(session)).isEmpty();
    }
}
