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

/**
 * Starts child services in order and stops them in reverse order. Restarts a failed child together with the children
 * that were started after it; if failures are too frequent, passes the failure to a callback instead.
 */
public final class Supervisor implements Service {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int MAX_RESTARTS_PER_WINDOW = 3;

    private static final Duration RESTART_WINDOW = Duration.ofMinutes(1);

    private final String name;

    private final TimeSource clock;

    private final Consumer<String> escalation;

    private final List<Service> children = new ArrayList<>();

    private final List<Service> runningChildren = new ArrayList<>();

    private final Deque<Instant> recentFailures = new ArrayDeque<>();

    /**
     * Creates a supervisor.
     *
     * @param name the name of the supervisor
     * @param clock the time source
     * @param escalation receives a description of a failure after which nothing is restarted any more
     */
    public Supervisor(String name, TimeSource clock, Consumer<String> escalation) {
        this.name = name;
        this.clock = clock;
        this.escalation = escalation;
    }

    /**
     * Adds a child service; children are started in the order in which they are added.
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
        for (int i = runningChildren.size() - 1; i >= 0; i--) {
            runningChildren.get(i).stop();
        }
        runningChildren.clear();
    }

    /**
     * Restarts a failed child and all children that were started after it. Escalates instead if there were too many
     * failures within the restart window or the child is not running.
     *
     * @param child the failed child
     * @param cause a description of the failure
     */
    public synchronized void handleFailure(Service child, String cause) {
        Instant now = clock.now();
        LOGGER.atWarning().log("event=service_failed supervisor=%s service=%s cause=\"%s\"", name, child.name(), cause);
        while (!recentFailures.isEmpty() && recentFailures.peek().isBefore(now.minus(RESTART_WINDOW))) {
            recentFailures.poll();
        }
        recentFailures.add(now);
        if (recentFailures.size() > MAX_RESTARTS_PER_WINDOW || !runningChildren.contains(child)) {
            escalation.accept(name + "/" + child.name() + ": " + cause);
            return;
        }
        restartFrom(child);
    }

    private void restartFrom(Service child) {
        List<Service> affected =
                new ArrayList<>(runningChildren.subList(runningChildren.indexOf(child), runningChildren.size()));
        for (int i = affected.size() - 1; i >= 0; i--) {
            affected.get(i).stop();
        }
        runningChildren.removeAll(affected);
        affected.forEach(this::startChild);
    }

    private void startChild(Service child) {
        try {
            child.start();
            runningChildren.add(child);
        } catch (RuntimeException e) {
            LOGGER.atSevere().log(
                    "event=service_not_started supervisor=%s service=%s cause=\"%s\"", name, child.name(), e);
            stop();
            throw e;
        }
    }
}
