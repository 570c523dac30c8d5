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

/** Runs a session once for each fault at each step, and for pairs of faults at seeded steps. */
final class FaultMatrix {

    private static final Duration SESSION_TIME = Duration.ofSeconds(50);

    private static final Duration OUTAGE_BOUND = Duration.ofSeconds(20);

    private final Deployment deployment;

    private final SessionScript script;

    private final Sabotage sabotage;

    private final UnaryOperator<NodeSettings> settings;

    private final Map<Fault, Integer> cells = new EnumMap<>(Fault.class);

    private final Collection<Failure> failures = new ConcurrentLinkedQueue<>();

    FaultMatrix(Deployment deployment, SessionScript script, UnaryOperator<NodeSettings> variant, Sabotage sabotage) {
        this.deployment = deployment;
        this.script = script;
        this.sabotage = sabotage;
        this.settings = plain -> sabotage.apply(variant.apply(shortOutageBound(plain)));
    }

    /** Runs a session with some faults. */
    Session run(List<FaultAt> faults) {
        Session session = new Session(deployment, settings, faults, sabotage);
        session.start();
        script.play(session);
        session.runUntil(SESSION_TIME);
        return session;
    }

    /** Returns the steps of a session without faults, up to the last caller's answer. */
    List<Step> steps() {
        Session session = new Session(deployment, settings, List.of(), sabotage);
        session.start();
        script.play(session);
        session.runUntil(Duration.ofMillis(6_500));
        return List.copyOf(session.log().steps());
    }

    /** Runs every fault at every step whose index leaves the given remainder. */
    void runSingles(int stride, int remainder) {
        List<FaultAt> all = new ArrayList<>();
        for (Step step : steps()) {
            for (Fault fault : Fault.values()) {
                if (strikes(fault, step) && (step.index() + fault.ordinal()) % stride == remainder) {
                    all.add(new FaultAt(fault, step.index()));
                }
            }
        }
        all.forEach(cell -> cells.merge(cell.fault(), 1, Integer::sum));
        all.parallelStream().forEach(cell -> check(List.of(cell)));
    }

    /** Tells whether some cell of a fault breaks a promise; stops at the first. */
    boolean sees(Promise promise, Fault fault) {
        return steps().parallelStream()
                .filter(step -> strikes(fault, step))
                .anyMatch(step -> violations(List.of(new FaultAt(fault, step.index()))).stream()
                        .anyMatch(violation -> violation.promise() == promise));
    }

    /** Runs pairs of faults at seeded steps. */
    void runPairs(int count, long seed) {
        List<Step> steps = steps();
        SplittableRandom random = new SplittableRandom(seed);
        List<List<FaultAt>> pairs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            pairs.add(List.of(randomCell(steps, random), randomCell(steps, random)));
        }
        pairs.forEach(pair -> cells.merge(pair.get(0).fault(), 1, Integer::sum));
        pairs.parallelStream().forEach(this::check);
    }

    List<Failure> failures() {
        return List.copyOf(failures);
    }

    int cells() {
        return cells.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Formats the cells run and passed by fault, and the violations by promise. */
    String table() {
        StringBuilder text = new StringBuilder();
        text.append(String.format("matrix %s %s: %d cells, %d failed%n", deployment, script, cells(), failures.size()));
        cells.forEach((fault, count) -> {
            long failed = failures.stream()
                    .filter(failure -> failure.faults().get(0).fault() == fault)
                    .count();
            text.append(String.format("  %-28s %6d run %6d passed%n", fault, count, count - failed));
        });
        Map<Promise, Integer> byPromise = new TreeMap<>();
        failures.forEach(
                failure -> failure.violations().forEach(each -> byPromise.merge(each.promise(), 1, Integer::sum)));
        for (Promise promise : Promise.values()) {
            text.append(String.format("  %-28s %6d violations%n", promise, byPromise.getOrDefault(promise, 0)));
        }
        return text.toString();
    }

    private FaultAt randomCell(List<Step> steps, SplittableRandom random) {
        Fault[] faults = Fault.values();
        while (true) {
            Step step = steps.get(random.nextInt(steps.size()));
            Fault fault = faults[random.nextInt(faults.length)];
            if (strikes(fault, step)) {
                return new FaultAt(fault, step.index());
            }
        }
    }

    private void check(List<FaultAt> faults) {
        List<Violation> violations = violations(faults);
        if (!violations.isEmpty()) {
            failures.add(new Failure(faults, violations));
        }
    }

    private List<Violation> violations(List<FaultAt> faults) {
        try {
            return SessionCheck.check(run(faults));
        } catch (RuntimeException e) {
            List<StackTraceElement> top = List.of(e.getStackTrace()).subList(0, Math.min(4, e.getStackTrace().length));
            return List.of(new Violation(Promise.PROGRESS, "the core failed: " + e + " at " + top));
        }
    }

    private static boolean strikes(Fault fault, Step step) {
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

    private static NodeSettings shortOutageBound(NodeSettings plain) {
        LeaseTimings lease = plain.lease();
        LeaseTimings bounded = new LeaseTimings(
                lease.timeToLive(), lease.renewInterval(), lease.margin(), lease.promiseDuration(), OUTAGE_BOUND);
        return Sabotage.with(plain, bounded, plain.timings(), plain.minDrainDuration());
    }

    /**
     * A cell that broke a promise.
     *
     * @param faults the faults of the cell
     * @param violations what was broken
     */
    record Failure(List<FaultAt> faults, List<Violation> violations) {}
}
