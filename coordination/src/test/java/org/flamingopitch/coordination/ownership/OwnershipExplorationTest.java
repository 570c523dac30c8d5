package org.flamingopitch.coordination.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.flamingopitch.coordination.membership.LeaseTimings;
import org.junit.jupiter.api.Test;

/** Every order of pauses, cuts, outages and late writes of two owners, up to a depth: never are both active. */
final class OwnershipExplorationTest {

    private static final int DEPTH = 6;

    private static final int ACTIONS = Action.values().length;

    private static final Duration SLICE = Duration.ofMillis(140);

    private static final int SLICES_PER_ACTION = 5;

    @Test
    void twoOwnersAreNeverActiveAtOnce() {
        int runs = (int) Math.pow(ACTIONS, DEPTH);
        Optional<String> violation = IntStream.range(0, runs)
                .parallel()
                .mapToObj(run -> explore(run, LeaseTimings.defaults()))
                .flatMap(Optional::stream)
                .findAny();
        System.out.println("ownership exploration: " + runs + " orders of " + DEPTH + " actions");
        assertThat(violation).isEmpty();
    }

    @Test
    void seesTheViolationWhenTheGuardOutlastsTheLease() {
        LeaseTimings plain = LeaseTimings.defaults();
        LeaseTimings late = new LeaseTimings(
                plain.timeToLive(),
                plain.renewInterval(),
                Duration.ofSeconds(-10),
                plain.promise(),
                plain.outageBound());
        Optional<String> violation = IntStream.range(0, (int) Math.pow(ACTIONS, DEPTH))
                .parallel()
                .mapToObj(run -> explore(run, late))
                .flatMap(Optional::stream)
                .findAny();
        assertThat(violation).isPresent();
    }

    private static Optional<String> explore(int run, LeaseTimings timings) {
        FakeStore store = new FakeStore();
        OwnerModel first = new OwnerModel("first", store, timings);
        OwnerModel second = new OwnerModel("second", store, timings);
        first.meet(second);
        second.meet(first);
        List<Action> actions = new ArrayList<>();
        pass(store, first, second, Action.NONE, 15);
        int rest = run;
        for (int i = 0; i < DEPTH; i++) {
            Action action = Action.values()[rest % ACTIONS];
            rest /= ACTIONS;
            actions.add(action);
            if (pass(store, first, second, action, SLICES_PER_ACTION)) {
                return Optional.of(actions.toString());
            }
        }
        boolean both = pass(store, first, second, Action.NONE, SLICES_PER_ACTION);
        return both ? Optional.of(actions.toString()) : Optional.empty();
    }

    /** Lets some time pass under an action and tells whether both were active in it. */
    private static boolean pass(FakeStore store, OwnerModel first, OwnerModel second, Action action, int slices) {
        first.cut(action.cutsFirst);
        second.cut(action.cutsSecond);
        first.hold(action == Action.HOLD_FIRST);
        second.hold(action == Action.HOLD_SECOND);
        for (int i = 0; i < slices; i++) {
            store.advance(SLICE);
            boolean firstRuns = action != Action.PAUSE_FIRST;
            boolean secondRuns = action != Action.PAUSE_SECOND;
            if (firstRuns) {
                first.run();
            }
            if (secondRuns) {
                second.run();
            }
            if (firstRuns && secondRuns && first.active() && second.active()) {
                return true;
            }
        }
        return false;
    }

    /** What happens for the length of five slices. */
    private enum Action {
        NONE(false, false),
        PAUSE_FIRST(false, false),
        PAUSE_SECOND(false, false),
        CUT_FIRST(true, false),
        CUT_SECOND(false, true),
        STORE_DOWN(true, true),
        HOLD_FIRST(false, false),
        HOLD_SECOND(false, false);

        private final boolean cutsFirst;

        private final boolean cutsSecond;

        Action(boolean cutsFirst, boolean cutsSecond) {
            this.cutsFirst = cutsFirst;
            this.cutsSecond = cutsSecond;
        }
    }
}
