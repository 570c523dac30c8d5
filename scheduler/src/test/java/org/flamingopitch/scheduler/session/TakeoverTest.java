package org.flamingopitch.scheduler.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.function.UnaryOperator;
import org.flamingopitch.coordination.api.ProcessId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against partitions that stay with a suspended owner long after its lease has ended. */
final class TakeoverTest {

    private static final Duration SUSPENDED_AT = Duration.ofSeconds(6);

    private static final Duration TAKEOVER_BOUND = Duration.ofSeconds(20);

    @ParameterizedTest
    @EnumSource(Deployment.class)
    void suspendedOwnerIsReplacedAlthoughWelcomesWereLostAtTheStart(Deployment deployment) {
        List<String> dataCentres = deployment.hostDataCentres();
        for (int host = 0; host < dataCentres.size(); host++) {
            if (Collections.frequency(dataCentres, dataCentres.get(host)) > 1) {
                assertThatSuspendedOwnerIsReplaced(start(deployment), host);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"0, 1", "0, 2", "1, 0", "1, 2", "2, 0", "2, 1"})
    void suspendedOwnerIsReplacedAlthoughAnotherHostMustRegisterAnew(int host, int reregistered) {
        Session session = new Session(Deployment.MINIATURAS, UnaryOperator.identity(), List.of(), InjectedDefect.NONE);
        session.start();
        session.runUntil(SUSPENDED_AT.minusMillis(1_500));
        session.freeze(reregistered, Duration.ofMillis(2_600), false);
        session.runUntil(SUSPENDED_AT);
        assertThatSuspendedOwnerIsReplaced(session, host);
    }

    private static Session start(Deployment deployment) {
        Session session = new Session(deployment, UnaryOperator.identity(), List.of(), InjectedDefect.NONE);
        session.start();
        session.runUntil(SUSPENDED_AT);
        return session;
    }

    private static void assertThatSuspendedOwnerIsReplaced(Session session, int host) {
        ProcessId suspended = session.processes().get(host).id();
        session.freeze(host, TAKEOVER_BOUND.plusSeconds(5), false);
        session.runUntil(SUSPENDED_AT.plus(TAKEOVER_BOUND));
        int observer = host == 0 ? 1 : 0;
        assertThat(session.processes().get(observer).node().status().owners())
                .isNotEmpty()
                .noneMatch(entry -> entry.owner().equals(suspended));
    }
}
