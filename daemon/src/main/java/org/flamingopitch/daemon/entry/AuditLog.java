package org.flamingopitch.daemon.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.flamingopitch.scheduler.node.AuditEvent;

/** Writes the system's changes to the log and keeps the latest. */
public final class AuditLog {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final int MAX_ENTRIES = 1_000;

    private final Deque<AuditLine> lines = new ArrayDeque<>();

    /**
     * Records a change.
     *
     * @param at when it happened
     * @param event the change
     */
    public synchronized void record(Instant at, AuditEvent event) {
        lines.add(new AuditLine(at, event));
        if (lines.size() > MAX_ENTRIES) {
            lines.poll();
        }
        LOGGER.atInfo().log(
                "event=%s subject=%s detail=\"%s\"",
                event.type().name().toLowerCase(), event.subject(), event.detail());
    }

    /**
     * Returns the latest changes.
     *
     * @return the changes, oldest first
     */
    public synchronized List<AuditLine> lines() {
        return List.copyOf(lines);
    }

    /**
     * A change and its time.
     *
     * @param at when it happened
     * @param event the change
     */
    public record AuditLine(Instant at, AuditEvent event) {}
}
