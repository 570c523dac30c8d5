package org.flamingopitch.scheduler.session;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** The fake clock of a session, and the deliveries at which faults strike. */
final class SessionTimeline {

    private final List<FaultAt> faults;

    private final PriorityQueue<Scheduled> queue =
            new PriorityQueue<>(Comparator.comparing(Scheduled::at).thenComparingLong(Scheduled::sequence));

    private final Session session;

    private final SessionLog log;

    private long sequence;

    private Instant now = Session.START;

    private int steps;

    SessionTimeline(Session session, SessionLog log, List<FaultAt> faults) {
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

    /** Schedules a delivery at which a fault can strike. */
    void step(StepType type, int process, String worker, Duration latency, Runnable onLoss, Runnable delivery) {
        Step step = new Step(steps, type, process, worker);
        steps++;
        log.step(step);
        Fate fate = Fate.NORMAL;
        for (FaultAt fault : faults) {
            if (fault.step() == step.index()) {
                log.note(now, "fault " + fault.fault() + " at step " + step.index() + " " + type);
                fate = fault.fault().strike(session, step);
            }
        }
        if (fate.lost()) {
            schedule(latency, onLoss);
            return;
        }
        schedule(latency.plus(fate.delay()), delivery);
        if (fate.twice()) {
            schedule(latency.plusMillis(3), delivery);
        }
    }

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
