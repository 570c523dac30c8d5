package org.flamingopitch.scheduler.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.function.UnaryOperator;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Sessions of both large deployments, without faults and with the main ones, produce exactly the approved traces. */
final class GoldenSessionTest {

    private static final Duration SESSION_LENGTH = Duration.ofSeconds(16);

    @ParameterizedTest
    @CsvSource({
        "MINIATURAS, OPERATOR_RACE, -1",
        "MINIATURAS, PROCESS_KILLED, 932",
        "MINIATURAS, WORKER_DEAD, 1243",
        "MINIATURAS, HOST_LEAVING, 1243",
        "SONDHYA, OPERATOR_RACE, -1",
        "SONDHYA, PROCESS_FROZEN_BEFORE_WRITE, 932",
        "SONDHYA, STORE_DOWN, 932",
        "SONDHYA, LINK_CUT_BOTH_WAYS, 932",
        "SONDHYA, PROCESS_DRAINED, 932",
    })
    void producesTheApprovedTrace(Deployment deployment, Fault fault, int step) {
        List<ScheduledFault> faults = step < 0 ? List.of() : List.of(new ScheduledFault(fault, step));
        Session session = new Session(deployment, UnaryOperator.identity(), faults, InjectedDefect.NONE);
        session.start();
        SessionScript.MIXED.play(session);
        session.runUntil(SESSION_LENGTH);
        assertThat(session.log().lines()).isNotEmpty();
        String name = step < 0 ? "WITHOUT_FAULT" : fault.name();
        Options options = new Options().forFile().withBaseName("GoldenSessionTest." + deployment + "." + name);
        Approvals.verify(String.join("\n", session.log().lines()) + "\n", options);
    }
}
