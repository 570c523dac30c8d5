package org.flamingopitch.daemon.cell;

import java.util.function.LongSupplier;

/**
 * Settings and sources of a host's metrics.
 *
 * @param metricsPort the port at which metrics are served, or {@link #NO_PORT}
 * @param droppedLogLines supplies the number of log lines dropped since the start
 */
public record Telemetry(int metricsPort, LongSupplier droppedLogLines) {

    /** The metrics port of a host that serves no metrics. */
    public static final int NO_PORT = 0;
}
