package org.flamingopitch.daemon.cell;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.LongSupplier;

/** The metrics of a host on the users' platform. */
final class CellMetrics {

    private static final double NANOS_A_SECOND = 1e9;

    private static final double[] BOUNDS = {.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5};

    private final PrometheusRegistry registry = new PrometheusRegistry();

    private final Counter requests = Counter.builder()
            .name("flamingopitch_requests_total")
            .help("Callers' requests by kind and outcome.")
            .labelNames("request", "outcome")
            .register(registry);

    private final Histogram requestTime = histogram(
            "flamingopitch_request_duration_seconds", "Time from a caller's request to its answer.", "request");

    private final Counter storeCalls = Counter.builder()
            .name("flamingopitch_store_calls_total")
            .help("Calls to the platform's store by operation and outcome.")
            .labelNames("operation", "outcome")
            .register(registry);

    private final Histogram storeTime = histogram(
            "flamingopitch_store_call_duration_seconds", "Time of a call to the platform's store.", "operation");

    private final Counter workerCalls = Counter.builder()
            .name("flamingopitch_worker_calls_total")
            .help("Orders to workers by operation and outcome.")
            .labelNames("operation", "outcome")
            .register(registry);

    private final Histogram workerTime = histogram(
            "flamingopitch_worker_call_duration_seconds",
            "Time of an order to a worker, waiting time included.",
            "operation");

    private final Gauge owner = Gauge.builder()
            .name("flamingopitch_cell_owner")
            .help("1 while this host owns the cell, otherwise 0.")
            .register(registry);

    private final Gauge openJobs = Gauge.builder()
            .name("flamingopitch_open_jobs")
            .help("Jobs that are accepted and not at their end, on the owner.")
            .register(registry);

    /**
     * Creates the metrics.
     *
     * @param droppedLogLines how many log lines were dropped
     */
    CellMetrics(LongSupplier droppedLogLines) {
        GaugeWithCallback.builder()
                .name("flamingopitch_log_lines_dropped")
                .help("Log lines dropped because the reader was too slow, since the start.")
                .callback(callback -> callback.call(droppedLogLines.getAsLong()))
                .register(registry);
    }

    private Histogram histogram(String name, String help, String label) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames(label)
                .classicUpperBounds(BOUNDS)
                .classicOnly()
                .register(registry);
    }

    void answered(String request, String outcome, Duration time) {
        requests.labelValues(request, outcome).inc();
        requestTime.labelValues(request).observe(seconds(time));
    }

    void storeCalled(String operation, String outcome, Duration time) {
        storeCalls.labelValues(operation, outcome).inc();
        storeTime.labelValues(operation).observe(seconds(time));
    }

    void workerCalled(String operation, String outcome, Duration time) {
        workerCalls.labelValues(operation, outcome).inc();
        workerTime.labelValues(operation).observe(seconds(time));
    }

    void update(boolean owning, int open) {
        owner.set(owning ? 1 : 0);
        openJobs.set(open);
    }

    /** Returns all metrics in the text format. */
    String text() {
        ByteArrayOutputStream stream = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(stream, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return stream.toString(StandardCharsets.UTF_8);
    }

    private static double seconds(Duration time) {
        return time.toNanos() / NANOS_A_SECOND;
    }
}
