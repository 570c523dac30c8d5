package org.flamingopitch.daemon.cell;

import java.util.function.LongSupplier;

/**
 * How a host is observed.
 *
 * @param metricsPort where it serves its metrics, or {@link #NO_PORT}
 * @param droppedLogLines how many log lines were dropped since the start
 */
public record Telemetry(int metricsPort, LongSupplier droppedLogLines) {

    /** Metrics are not served. */
    public static final int NO_PORT = 0;
}
