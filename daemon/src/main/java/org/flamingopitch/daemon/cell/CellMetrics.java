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

/** Records the metrics of a {@link CellHost} and writes them in the Prometheus text format. */
final class CellMetrics {

    private static final double NANOS_PER_SECOND = 1e9;

    private static final double[] BUCKET_LIMITS_SECONDS = {.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5};

    private final PrometheusRegistry registry = new PrometheusRegistry();

    private final Counter requests = Counter.builder()
            .name("flamingopitch_requests_total")
            .help("Callers' requests by kind and outcome.")
            .labelNames("request", "outcome")
            .register(registry);

    private final Histogram requestDuration = registerHistogram(
            "flamingopitch_request_duration_seconds", "Time from a caller's request to its answer.", "request");

    private final Counter storeCalls = Counter.builder()
            .name("flamingopitch_store_calls_total")
            .help("Calls to the platform's store by operation and outcome.")
            .labelNames("operation", "outcome")
            .register(registry);

    private final Histogram storeCallDuration = registerHistogram(
            "flamingopitch_store_call_duration_seconds", "Time of a call to the platform's store.", "operation");

    private final Counter workerCalls = Counter.builder()
            .name("flamingopitch_worker_calls_total")
            .help("Orders to workers by operation and outcome.")
            .labelNames("operation", "outcome")
            .register(registry);

    private final Histogram workerCallDuration = registerHistogram(
            "flamingopitch_worker_call_duration_seconds",
            "Time of an order to a worker, waiting time included.",
            "operation");

    private final Counter copies = Counter.builder()
            .name("flamingopitch_copies_total")
            .help("Copies of tasks by outcome.")
            .labelNames("outcome")
            .register(registry);

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
     * @param droppedLogLines supplies the number of log lines dropped since the start
     */
    CellMetrics(LongSupplier droppedLogLines) {
        GaugeWithCallback.builder()
                .name("flamingopitch_log_lines_dropped")
                .help("Log lines dropped because the reader was too slow, since the start.")
                .callback(callback -> callback.call(droppedLogLines.getAsLong()))
                .register(registry);
    }

    private Histogram registerHistogram(String name, String help, String label) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .labelNames(label)
                .classicUpperBounds(BUCKET_LIMITS_SECONDS)
                .classicOnly()
                .register(registry);
    }

    void recordAnswer(String request, String outcome, Duration time) {
        requests.labelValues(request, outcome).inc();
        requestDuration.labelValues(request).observe(seconds(time));
    }

    void recordStoreCall(String operation, String outcome, Duration time) {
        storeCalls.labelValues(operation, outcome).inc();
        storeCallDuration.labelValues(operation).observe(seconds(time));
    }

    void recordWorkerCall(String operation, String outcome, Duration time) {
        workerCalls.labelValues(operation, outcome).inc();
        workerCallDuration.labelValues(operation).observe(seconds(time));
    }

    void recordCopyOutcome(String outcome) {
        copies.labelValues(outcome).inc();
    }

    void updateGauges(boolean ownsCell, int openJobCount) {
        owner.set(ownsCell ? 1 : 0);
        openJobs.set(openJobCount);
    }

    /** Returns all metrics in the Prometheus text format. */
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
        return time.toNanos() / NANOS_PER_SECOND;
    }
}
