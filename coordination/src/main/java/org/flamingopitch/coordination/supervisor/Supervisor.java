package org.flamingopitch.coordination.supervisor;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.TimeSource;

/** Starts services in order, stops them in reverse, restarts a failed one, and escalates when it keeps failing. */
public final class Supervisor implements Service {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int MAX_RESTARTS = 3;

    private static final Duration RESTART_WINDOW = Duration.ofMinutes(1);

    private final String name;

    private final TimeSource clock;

    private final Consumer<String> escalation;

    private final List<Service> children = new ArrayList<>();

    private final List<Service> running = new ArrayList<>();

    private final Deque<Instant> restarts = new ArrayDeque<>();

    /**
     * Creates a supervisor.
     *
     * @param name its name
     * @param clock the clock
     * @param escalation is told when a child keeps failing
     */
    public Supervisor(String name, TimeSource clock, Consumer<String> escalation) {
        this.name = name;
        this.clock = clock;
        this.escalation = escalation;
    }

    /**
     * Adds a child; children start in the order in which they are added.
     *
     * @param child the service
     */
    public synchronized void add(Service child) {
        children.add(child);
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public synchronized void start() {
        for (Service child : children) {
            startChild(child);
        }
    }

    @Override
    public synchronized void stop() {
        for (int i = running.size() - 1; i >= 0; i--) {
            running.get(i).stop();
        }
        running.clear();
    }

    /**
     * Restarts a child that failed, with all that started after it, or escalates.
     *
     * @param child the failed child
     * @param cause what happened
     */
    public synchronized void failed(Service child, String cause) {
        Instant now = clock.now();
        LOGGER.atWarning().log("event=service_failed supervisor=%s service=%s cause=\"%s\"", name, child.name(), cause);
        while (!restarts.isEmpty() && restarts.peek().isBefore(now.minus(RESTART_WINDOW))) {
            restarts.poll();
        }
        restarts.add(now);
        if (restarts.size() > MAX_RESTARTS || !running.contains(child)) {
            escalation.accept(name + "/" + child.name() + ": " + cause);
            return;
        }
        restartFrom(child);
    }

    private void restartFrom(Service child) {
        List<Service> affected = new ArrayList<>(running.subList(running.indexOf(child), running.size()));
        for (int i = affected.size() - 1; i >= 0; i--) {
            affected.get(i).stop();
        }
        running.removeAll(affected);
        affected.forEach(this::startChild);
    }

    private void startChild(Service child) {
        try {
            child.start();
            running.add(child);
        } catch (RuntimeException e) {
            stop();
            throw e;
        }
    }
}
