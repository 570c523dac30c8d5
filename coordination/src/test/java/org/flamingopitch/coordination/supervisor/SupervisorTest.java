package org.flamingopitch.coordination.supervisor;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A child that reports a failure is restarted in order, and not for ever. */
final class SupervisorTest {

    private final List<String> calls = new ArrayList<>();

    private final List<String> escalations = new ArrayList<>();

    private Instant now = Instant.EPOCH;

    private final Supervisor supervisor = new Supervisor("host", () -> now, escalations::add);

    private final RecordingService second = new RecordingService("second");

    @BeforeEach
    void addChildren() {
        supervisor.add(new RecordingService("first"));
        supervisor.add(second);
        supervisor.add(new RecordingService("third"));
    }

    @Test
    void failedChildIsRestartedWithThoseThatWereStartedAfterIt() {
        supervisor.start();
        calls.clear();
        supervisor.handleFailure(second, "cause");
        assertThat(calls).containsExactly("stop third", "stop second", "start second", "start third");
        assertThat(escalations).isEmpty();
    }

    @Test
    void fourthFailureWithinAMinuteEscalates() {
        supervisor.start();
        for (int i = 0; i < 4; i++) {
            assertThat(escalations).isEmpty();
            supervisor.handleFailure(second, "cause");
            now = now.plusSeconds(10);
        }
        assertThat(escalations).containsExactly("host/second: cause");
    }

    @Test
    void failuresThatAreFarApartDoNotEscalate() {
        supervisor.start();
        for (int i = 0; i < 10; i++) {
            supervisor.handleFailure(second, "cause");
            now = now.plusSeconds(31);
        }
        assertThat(escalations).isEmpty();
    }

    @Test
    void childThatDoesNotStartStopsTheOthers() {
        second.failing = true;
        assertThatThrownBy(supervisor::start).hasMessage("second does not start");
        assertThat(calls).containsExactly("start first", "stop first");
    }

    private final class RecordingService implements Service {

        private final String name;

        private boolean failing;

        private RecordingService(String name) {
            this.name = name;
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public void start() {
            if (failing) {
                throw new IllegalStateException(name + " does not start");
            }
            calls.add("start " + name);
        }

        @Override
        public void stop() {
            calls.add("stop " + name);
        }
    }
}
