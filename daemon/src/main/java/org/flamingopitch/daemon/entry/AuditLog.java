package org.flamingopitch.daemon.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.flamingopitch.scheduler.node.AuditEvent;

/** Logs audit events, which are changes that the system made, and keeps the latest in memory for operators. */
public final class AuditLog {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int MAX_LINES = 1_000;

    private final Deque<AuditLine> lines = new ArrayDeque<>();

    /**
     * Logs an event and adds it to the latest ones; drops the oldest if there are too many.
     *
     * @param at when it happened
     * @param event the event
     */
    public synchronized void record(Instant at, AuditEvent event) {
        lines.add(new AuditLine(at, event));
        if (lines.size() > MAX_LINES) {
            lines.poll();
        }
        LOGGER.atInfo().log(
                "event=%s subject=%s detail=\"%s\"",
                event.type().name().toLowerCase(), event.subject(), event.detail());
    }

    /**
     * Returns the latest events.
     *
     * @return the events, oldest first
     */
    public synchronized List<AuditLine> lines() {
        return List.copyOf(lines);
    }

    /**
     * An event and its time.
     *
     * @param at when it happened
     * @param event the event
     */
    public record AuditLine(Instant at, AuditEvent event) {}
}
