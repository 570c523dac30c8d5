package org.flamingopitch.scheduler.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Locale;
import org.flamingopitch.coordination.once.IdempotencyPolicy;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.node.CallerAnswer;
import org.flamingopitch.scheduler.node.NodeSettings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Every idempotency policy upholds the guarantees; prints how non-idempotent requests end under each fault. */
final class IdempotencyPolicyTest {

    private static final List<Fault> FAULTS = List.of(
            Fault.OPERATOR_RACE,
            Fault.PROCESS_KILLED,
            Fault.HOST_LOST,
            Fault.PROCESS_FROZEN,
            Fault.PROCESS_DRAINED,
            Fault.STORE_DOWN,
            Fault.STORE_SLOW,
            Fault.LINK_CUT_BOTH_WAYS);

    private static final int STEP_STRIDE = 16;

    @ParameterizedTest
    @EnumSource(IdempotencyPolicy.class)
    void upholdsEveryGuaranteeUnderEachPolicyAndFault(IdempotencyPolicy policy) {
        FaultMatrix matrix = new FaultMatrix(
                Deployment.SMALL, SessionScript.MIXED, defaults -> copyWith(defaults, policy), InjectedDefect.NONE);
        for (Fault fault : FAULTS) {
            OutcomeShares shares = new OutcomeShares();
            List<Step> steps = matrix.recordSteps();
            for (int i = 0; i < steps.size(); i += STEP_STRIDE) {
                Session session = matrix.run(
                        List.of(new ScheduledFault(fault, steps.get(i).index())));
                assertThat(SessionCheck.check(session)).isEmpty();
                session.log().calls().forEach(shares::add);
            }
            System.out.println("outcomes of holds under " + policy + " " + fault + ": " + shares);
        }
    }

    private static NodeSettings copyWith(NodeSettings defaults, IdempotencyPolicy policy) {
        return new NodeSettings(
                defaults.self(),
                defaults.lease(),
                defaults.timings(),
                defaults.journal(),
                policy,
                defaults.jobCommandTimeout(),
                defaults.drainTimeout(),
                defaults.minDrainDuration(),
                defaults.seed());
    }

    private static final class OutcomeShares {

        private int done;

        private int notRun;

        private int unknown;

        private void add(CallRecord call) {
            if (!call.name().startsWith("hold-") || call.replies().isEmpty()) {
                return;
            }
            CallRecord.Reply last = call.replies().get(call.replies().size() - 1);
            if (!(last.answer() instanceof CallerAnswer.RunAnswer run)) {
                unknown++;
            } else if (run.outcome() instanceof Outcome.Done) {
                done++;
            } else if (run.outcome() instanceof Outcome.NotRun) {
                notRun++;
            } else {
                unknown++;
            }
        }

        @Override
        public String toString() {
            double all = (done + notRun + unknown) / 100.0;
            return String.format(
                    Locale.ROOT,
                    "%.1f%% done, %.1f%% not run, %.1f%% unknown of %.0f",
                    done / all,
                    notRun / all,
                    unknown / all,
                    all * 100);
        }
    }
}
