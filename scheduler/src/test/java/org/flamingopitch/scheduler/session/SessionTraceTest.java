package org.flamingopitch.scheduler.session;

import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/** Prints the session of one cell, named as {@code -Dmatrix.cell=FAULT@STEP,FAULT@STEP}. */
final class SessionTraceTest {

    private static final String CELL = "matrix.cell";

    private static final String SCRIPT = "matrix.script";

    @Test
    @EnabledIfSystemProperty(named = CELL, matches = ".+")
    void printsTheSessionOfOneCell() {
        List<FaultAt> faults = new ArrayList<>();
        for (String part : System.getProperty(CELL).split(",")) {
            String[] words = part.split("@");
            faults.add(new FaultAt(Fault.valueOf(words[0]), Integer.parseInt(words[1])));
        }
        Session session = new FaultMatrix(
                        Deployment.SMALL,
                        SessionScript.valueOf(System.getProperty(SCRIPT, SessionScript.MIXED.name())),
                        UnaryOperator.identity(),
                        Sabotage.NONE)
                .run(faults);
        session.log().lines().forEach(System.out::println);
        SessionCheck.check(session).forEach(System.out::println);
    }
}
