package org.flamingopitch.scheduler.session;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** The simulated clock of a session, its event queue, and the steps at which faults are injected. */
final class SessionTimeline {

    private final List<ScheduledFault> faults;

    private final PriorityQueue<Scheduled> queue =
            new PriorityQueue<>(Comparator.comparing(Scheduled::at).thenComparingLong(Scheduled::sequence));

    private final Session session;

    private final SessionLog log;

    private long sequence;

    private Instant now = Session.START;

    private int steps;

    SessionTimeline(Session session, SessionLog log, List<ScheduledFault> faults) {
        this.session = session;
        this.log = log;
        this.faults = faults;
    }

    Instant now() {
        return now;
    }

    int steps() {
        return steps;
    }

    /** Schedules a delivery as the next step and injects the faults that are scheduled for it. */
    void scheduleDelivery(
            StepType type, int process, String worker, Duration latency, Runnable onLoss, Runnable delivery) {
        Step step = new Step(steps, type, process, worker);
        steps++;
        log.recordStep(step);
        DeliveryEffect effect = DeliveryEffect.NORMAL;
        for (ScheduledFault fault : faults) {
            if (fault.step() == step.index()) {
                log.recordNote(now, "fault " + fault.fault() + " at step " + step.index() + " " + type);
                effect = fault.fault().inject(session, step);
            }
        }
        if (effect.lost()) {
            schedule(latency, onLoss);
            return;
        }
        schedule(latency.plus(effect.delay()), delivery);
        if (effect.duplicated()) {
            schedule(latency.plusMillis(3), delivery);
        }
    }

    /** Schedules an action at which no fault is injected. */
    void schedule(Duration delay, Runnable action) {
        sequence++;
        queue.add(new Scheduled(now.plus(delay), sequence, action));
    }

    private record Scheduled(Instant at, long sequence, Runnable action) {}

    void runUntil(Instant end) {
        while (!queue.isEmpty() && !queue.peek().at().isAfter(end)) {
            Scheduled next = queue.poll();
            now = next.at();
            next.action().run();
        }
        now = end;
    }
}
