package org.flamingopitch.scheduler.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Sessions without faults uphold every guarantee and answer every caller on the first try. */
final class SessionTest {

    @ParameterizedTest
    @EnumSource(Deployment.class)
    void upholdsEveryGuaranteeWithoutFaults(Deployment deployment) {
        Session session = new Session(deployment, UnaryOperator.identity(), List.of(), InjectedDefect.NONE);
        session.start();
        SessionScript.MIXED.play(session);
        session.runUntil(Duration.ofSeconds(10));
        assertThat(SessionCheck.check(session))
                .as(String.join("\n", session.log().lines()))
                .isEmpty();
        assertThat(session.log().calls())
                .allSatisfy(call -> assertThat(call.replies())
                        .as(call.name())
                        .hasSize(1)
                        .noneMatch(reply -> reply.answer().toString().contains("NotRun")));
    }
}
