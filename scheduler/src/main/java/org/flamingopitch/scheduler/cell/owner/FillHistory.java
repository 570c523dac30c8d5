package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.flamingopitch.scheduler.cell.model.StepSpec;

/**
 * Remembers what filled on a worker during the time that its figures cover, so that a lagging figure is compared with
 * what caused it and not with what runs now.
 */
final class FillHistory {

    /** A worker's figure covers this time, says the platform's protocol. */
    private static final Duration FIGURE_TIME = Duration.ofMillis(500);

    /** A report is on its way for a while, and a change takes effect a little later. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(100);

    /** Long enough for all who ask what changed lately. */
    private static final Duration KEEP_TIME = Duration.ofSeconds(1);

    private static final double FULL = 100;

    private final Deque<Span> past = new ArrayDeque<>();

    private final Set<Run> present = new HashSet<>();

    void started(Run run) {
        present.add(run);
    }

    /** Notes that a run changes its pace, before it does; one that has ended shows no more. */
    void changes(Run run, Instant now) {
        if (present.contains(run)) {
            past.add(new Span(run.task().step().spec(), run.pacedTo(), run.paceSince(), now));
        }
    }

    void ended(Run run, Instant now) {
        changes(run, now);
        present.remove(run);
    }

    /** Returns the mean share of the worker that each image took during the time that the newest figures cover. */
    Map<String, Double> shares(long capacityMilliCores, Instant now) {
        Instant to = now.minus(REPORT_DELAY);
        Instant from = to.minus(FIGURE_TIME);
        while (!past.isEmpty() && past.peek().to().isBefore(now.minus(KEEP_TIME))) {
            past.poll();
        }
        Map<String, Double> shares = new HashMap<>();
        for (Span span : past) {
            add(shares, span, from, to, capacityMilliCores);
        }
        for (Run run : present) {
            StepSpec spec = run.task().step().spec();
            add(shares, new Span(spec, run.pacedTo(), run.paceSince(), to), from, to, capacityMilliCores);
        }
        return shares;
    }

    /** Returns the images of which a task started, ended or changed its pace after a moment. */
    Set<String> changedSince(Instant moment) {
        Set<String> changed = new HashSet<>();
        for (Span span : past) {
            if (span.to().isAfter(moment)) {
                changed.add(span.spec().imageName());
            }
        }
        for (Run run : present) {
            if (run.paceSince().isAfter(moment)) {
                changed.add(run.task().step().spec().imageName());
            }
        }
        return changed;
    }

    private static void add(Map<String, Double> shares, Span span, Instant from, Instant to, long capacity) {
        Instant start = span.from().isAfter(from) ? span.from() : from;
        Instant end = span.to().isBefore(to) ? span.to() : to;
        if (!end.isAfter(start)) {
            return;
        }
        double time = (double) Duration.between(start, end).toMillis() / FIGURE_TIME.toMillis();
        double pace = Math.max(0, span.pace()) / FULL;
        double share = time * pace * span.spec().demand().milliCores() / capacity;
        shares.merge(span.spec().imageName(), share, Double::sum);
    }

    private record Span(StepSpec spec, int pace, Instant from, Instant to) {}
}
