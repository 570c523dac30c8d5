package org.flamingopitch.coordination.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.flamingopitch.coordination.membership.LeaseTimings;
import org.junit.jupiter.api.Test;

/**
 * Runs two owners through every sequence of pauses, disconnections, store outages and delayed writes of a given length.
 * Guards against both owners acting at the same time.
 */
final class OwnershipExplorationTest {

    private static final int ACTIONS_PER_SEQUENCE = 6;

    private static final int ACTION_COUNT = Action.values().length;

    private static final Duration STEP_DURATION = Duration.ofMillis(140);

    private static final int STEPS_PER_ACTION = 5;

    @Test
    void twoOwnersAreNeverActiveAtOnce() {
        int sequenceCount = (int) Math.pow(ACTION_COUNT, ACTIONS_PER_SEQUENCE);
        Optional<String> violation = IntStream.range(0, sequenceCount)
                .parallel()
                .mapToObj(sequenceNumber -> explore(sequenceNumber, LeaseTimings.defaults()))
                .flatMap(Optional::stream)
                .findAny();
        System.out.println(
                "ownership exploration: " + sequenceCount + " sequences of " + ACTIONS_PER_SEQUENCE + " actions");
        assertThat(violation).isEmpty();
    }

    @Test
    void findsTwoActiveOwnersWhenTheGuardOutlastsTheLease() {
        LeaseTimings regular = LeaseTimings.defaults();
        LeaseTimings faulty = new LeaseTimings(
                regular.timeToLive(),
                regular.renewInterval(),
                Duration.ofSeconds(-10),
                regular.promiseDuration(),
                regular.outageBound());
        Optional<String> violation = IntStream.range(0, (int) Math.pow(ACTION_COUNT, ACTIONS_PER_SEQUENCE))
                .parallel()
                .mapToObj(sequenceNumber -> explore(sequenceNumber, faulty))
                .flatMap(Optional::stream)
                .findAny();
        assertThat(violation).isPresent();
    }

    /**
     * Runs one sequence, whose actions are the digits of its number in base {@link #ACTION_COUNT}. Returns the actions up
     * to the step at which both owners were active, or nothing.
     */
    private static Optional<String> explore(int sequenceNumber, LeaseTimings timings) {
        FakeStore store = new FakeStore();
        SimulatedOwner first = new SimulatedOwner("first", store, timings);
        SimulatedOwner second = new SimulatedOwner("second", store, timings);
        first.introduce(second);
        second.introduce(first);
        List<Action> actions = new ArrayList<>();
        runAction(store, first, second, Action.NONE, 15);
        int remainingDigits = sequenceNumber;
        for (int i = 0; i < ACTIONS_PER_SEQUENCE; i++) {
            Action action = Action.values()[remainingDigits % ACTION_COUNT];
            remainingDigits /= ACTION_COUNT;
            actions.add(action);
            if (runAction(store, first, second, action, STEPS_PER_ACTION)) {
                return Optional.of(actions.toString());
            }
        }
        boolean bothActive = runAction(store, first, second, Action.NONE, STEPS_PER_ACTION);
        return bothActive ? Optional.of(actions.toString()) : Optional.empty();
    }

    /** Advances the simulation under an action and returns whether both owners were active at the same time. */
    private static boolean runAction(
            FakeStore store, SimulatedOwner first, SimulatedOwner second, Action action, int stepCount) {
        first.setDisconnected(action.disconnectsFirst);
        second.setDisconnected(action.disconnectsSecond);
        first.setDelaysWrites(action == Action.DELAY_WRITES_OF_FIRST);
        second.setDelaysWrites(action == Action.DELAY_WRITES_OF_SECOND);
        for (int i = 0; i < stepCount; i++) {
            store.advance(STEP_DURATION);
            boolean firstIsRunning = action != Action.PAUSE_FIRST;
            boolean secondIsRunning = action != Action.PAUSE_SECOND;
            if (firstIsRunning) {
                first.runDueWork();
            }
            if (secondIsRunning) {
                second.runDueWork();
            }
            if (firstIsRunning && secondIsRunning && first.active() && second.active()) {
                return true;
            }
        }
        return false;
    }

    /** A condition that holds during the steps of one action. */
    private enum Action {
        NONE(false, false),
        PAUSE_FIRST(false, false),
        PAUSE_SECOND(false, false),
        DISCONNECT_FIRST(true, false),
        DISCONNECT_SECOND(false, true),
        STORE_DOWN(true, true),
        DELAY_WRITES_OF_FIRST(false, false),
        DELAY_WRITES_OF_SECOND(false, false);

        private final boolean disconnectsFirst;

        private final boolean disconnectsSecond;

        Action(boolean disconnectsFirst, boolean disconnectsSecond) {
            this.disconnectsFirst = disconnectsFirst;
            this.disconnectsSecond = disconnectsSecond;
        }
    }
}
