package org.flamingopitch.scheduler.session;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.UnaryOperator;
import org.flamingopitch.coordination.membership.LeaseTimings;
import org.flamingopitch.scheduler.node.NodeSettings;

/**
 * Runs cases, which are sessions with one or two faults, and collects the violations. The faults are each fault at each
 * step, or pairs of random faults at random steps.
 */
final class FaultMatrix {

    private static final Duration SESSION_LENGTH = Duration.ofSeconds(50);

    /** Limit on work without the store, short enough that it is reached within a session. */
    private static final Duration OUTAGE_BOUND = Duration.ofSeconds(20);

    private final Deployment deployment;

    private final SessionScript script;

    private final InjectedDefect defect;

    private final UnaryOperator<NodeSettings> settings;

    private final Map<Fault, Integer> casesByFault = new EnumMap<>(Fault.class);

    private final Collection<Failure> failures = new ConcurrentLinkedQueue<>();

    FaultMatrix(
            Deployment deployment, SessionScript script, UnaryOperator<NodeSettings> variant, InjectedDefect defect) {
        this.deployment = deployment;
        this.script = script;
        this.defect = defect;
        this.settings = defaults -> defect.apply(variant.apply(withShortOutageBound(defaults)));
    }

    /** Runs a session with the given faults and returns it when it has ended. */
    Session run(List<ScheduledFault> faults) {
        Session session = new Session(deployment, settings, faults, defect);
        session.start();
        script.play(session);
        session.runUntil(SESSION_LENGTH);
        return session;
    }

    /** Runs a session without faults and returns its steps up to the answer to the last caller. */
    List<Step> recordSteps() {
        Session session = new Session(deployment, settings, List.of(), defect);
        session.start();
        script.play(session);
        session.runUntil(Duration.ofMillis(6_500));
        return List.copyOf(session.log().steps());
    }

    /** Runs a case for each fault and step whose indices add up to the given remainder modulo the stride. */
    void runSingleFaults(int stride, int remainder) {
        List<ScheduledFault> all = new ArrayList<>();
        for (Step step : recordSteps()) {
            for (Fault fault : Fault.values()) {
                if (appliesTo(fault, step) && (step.index() + fault.ordinal()) % stride == remainder) {
                    all.add(new ScheduledFault(fault, step.index()));
                }
            }
        }
        all.forEach(scheduled -> casesByFault.merge(scheduled.fault(), 1, Integer::sum));
        all.parallelStream().forEach(scheduled -> runCase(List.of(scheduled)));
    }

    /** Returns whether a fault at any step leads to a violation of a guarantee; stops at the first. */
    boolean detects(Guarantee guarantee, Fault fault) {
        return recordSteps().parallelStream()
                .filter(step -> appliesTo(fault, step))
                .anyMatch(step -> findViolations(List.of(new ScheduledFault(fault, step.index()))).stream()
                        .anyMatch(violation -> violation.guarantee() == guarantee));
    }

    /** Runs pairs of random faults at random steps. */
    void runFaultPairs(int count, long seed) {
        List<Step> steps = recordSteps();
        SplittableRandom random = new SplittableRandom(seed);
        List<List<ScheduledFault>> pairs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            pairs.add(List.of(randomFault(steps, random), randomFault(steps, random)));
        }
        pairs.forEach(pair -> casesByFault.merge(pair.get(0).fault(), 1, Integer::sum));
        pairs.parallelStream().forEach(this::runCase);
    }

    List<Failure> failures() {
        return List.copyOf(failures);
    }

    int caseCount() {
        return casesByFault.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Formats the number of cases run and passed by fault, and of violations by guarantee. */
    String formatTable() {
        StringBuilder text = new StringBuilder();
        text.append(
                String.format("matrix %s %s: %d cases, %d failed%n", deployment, script, caseCount(), failures.size()));
        casesByFault.forEach((fault, count) -> {
            long failed = failures.stream()
                    .filter(failure -> failure.faults().get(0).fault() == fault)
                    .count();
            text.append(String.format("  %-28s %6d run %6d passed%n", fault, count, count - failed));
        });
        Map<Guarantee, Integer> countByGuarantee = new TreeMap<>();
        failures.forEach(failure ->
                failure.violations().forEach(each -> countByGuarantee.merge(each.guarantee(), 1, Integer::sum)));
        for (Guarantee guarantee : Guarantee.values()) {
            text.append(
                    String.format("  %-28s %6d violations%n", guarantee, countByGuarantee.getOrDefault(guarantee, 0)));
        }
        return text.toString();
    }

    private ScheduledFault randomFault(List<Step> steps, SplittableRandom random) {
        Fault[] faults = Fault.values();
        while (true) {
            Step step = steps.get(random.nextInt(steps.size()));
            Fault fault = faults[random.nextInt(faults.length)];
            if (appliesTo(fault, step)) {
                return new ScheduledFault(fault, step.index());
            }
        }
    }

    private void runCase(List<ScheduledFault> faults) {
        List<Violation> violations = findViolations(faults);
        if (!violations.isEmpty()) {
            failures.add(new Failure(faults, violations));
        }
    }

    private List<Violation> findViolations(List<ScheduledFault> faults) {
        try {
            return SessionCheck.check(run(faults));
        } catch (RuntimeException e) {
            List<StackTraceElement> top = List.of(e.getStackTrace()).subList(0, Math.min(4, e.getStackTrace().length));
            return List.of(
                    new Violation(Guarantee.PROGRESS, "the session failed with an exception: " + e + " at " + top));
        }
    }

    /** Returns whether a fault is injected at a step of this kind. */
    private static boolean appliesTo(Fault fault, Step step) {
        return switch (fault) {
            case WORKER_DEAD, WORKER_SILENT, HOST_LEAVING -> !step.worker().isEmpty();
            case MESSAGE_DUPLICATED ->
                step.type() == StepType.PEER_MESSAGE
                        || step.type() == StepType.STORE_ANSWER
                        || step.type() == StepType.WORKER_ANSWER;
            case MESSAGE_LOST, MESSAGE_DELAYED, MESSAGE_CROSSED -> step.type() != StepType.CALLER_ANSWER;
            default -> true;
        };
    }

    private static NodeSettings withShortOutageBound(NodeSettings defaults) {
        LeaseTimings lease = defaults.lease();
        LeaseTimings bounded = new LeaseTimings(
                lease.timeToLive(), lease.renewInterval(), lease.margin(), lease.promiseDuration(), OUTAGE_BOUND);
        return InjectedDefect.copyWith(defaults, bounded, defaults.timings(), defaults.minDrainDuration());
    }

    /**
     * A case with violations.
     *
     * @param faults the injected faults
     * @param violations the violations found
     */
    record Failure(List<ScheduledFault> faults, List<Violation> violations) {}
}
