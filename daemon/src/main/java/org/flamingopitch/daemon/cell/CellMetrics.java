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
import java.util.List;
import java.util.function.LongSupplier;
import org.flamingopitch.scheduler.cell.disruption.MoveReason;
import org.flamingopitch.scheduler.cell.feature.FeatureGate;
import org.flamingopitch.scheduler.cell.feature.FeatureGates;
import org.flamingopitch.scheduler.cell.locality.RackWaitOutcome;
import org.flamingopitch.scheduler.cell.model.ServiceName;
import org.flamingopitch.scheduler.cell.port.OwnerMetrics;
import org.flamingopitch.scheduler.cell.port.ServiceCores;
import org.flamingopitch.scheduler.cell.speculation.CopyOutcome;

/** Records the metrics of a {@link CellHost} and writes them in the Prometheus text format. */
final class CellMetrics implements OwnerMetrics {

    private static final double NANOS_PER_SECOND = 1e9;

    private static final double MILLICORES_PER_CORE = 1e3;

    /** Queues of this and lower priorities share a label, so that the number of labels is bounded. */
    private static final int LAST_PRIORITY_LABEL = 9;

    private static final double[] BUCKET_LIMITS_SECONDS = {.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5};

    private final PrometheusRegistry registry = new PrometheusRegistry();

    private final Counter requests = Counter.builder()
            .name("flamingopitch_requests_total")
            .help("Callers' requests by kind and outcome.")
            .labelNames("request", "outcome")
            .register(registry);

    private final Gauge featureGates = Gauge.builder()
            .name("flamingopitch_feature_gate")
            .help("1 for each decision mechanism that is on, 0 for one that was switched off.")
            .labelNames("gate")
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

    private final Histogram rackWait = registerHistogram(
            "flamingopitch_rack_wait_seconds", "Time that a task was left waiting for its rack.", "outcome");

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

    private final Counter admissions = Counter.builder()
            .name("flamingopitch_admissions_total")
            .help("Submissions at the owner by the priority of their queue and outcome.")
            .labelNames("queue_priority", "outcome")
            .register(registry);

    private final Counter preemptions = Counter.builder()
            .name("flamingopitch_preemptions_total")
            .help("Runs of best-effort tasks stopped for tasks of a higher priority.")
            .register(registry);

    private final Histogram admissionWait = Histogram.builder()
            .name("flamingopitch_admission_wait_seconds")
            .help("Expected wait of a submitted job, admitted or not.")
            .classicUpperBounds(.1, .25, .5, 1, 2.5, 5, 10, 25, 50)
            .classicOnly()
            .register(registry);

    private final Gauge evacuatedDataCentres = Gauge.builder()
            .name("flamingopitch_evacuated_data_centres")
            .help("Data centres under evacuation, as far as this host knows.")
            .register(registry);

    private final Counter moves = Counter.builder()
            .name("flamingopitch_moves_total")
            .help("Long-running tasks that were stopped in order to run on another worker, by reason.")
            .labelNames("reason")
            .register(registry);

    private final Counter deferredMoves = Counter.builder()
            .name("flamingopitch_moves_deferred_total")
            .help("Moves of long-running tasks that had to wait for other tasks of the step or for a worker.")
            .register(registry);

    private final Gauge timeWithoutOwner = Gauge.builder()
            .name("flamingopitch_time_without_owner_seconds")
            .help("How long this host has known of no owner of the cell, 0 while it knows of one.")
            .register(registry);

    private final Gauge longestIdleTime = Gauge.builder()
            .name("flamingopitch_longest_job_idle_seconds")
            .help("Longest time that an open job has had nothing at work although a task may start, on the owner.")
            .register(registry);

    private final Gauge serviceCores = Gauge.builder()
            .name("flamingopitch_service_cores")
            .help("Processor time of the registered workers of a service, on the owner: total, reserved and running.")
            .labelNames("service", "part")
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

    void recordGates(FeatureGates gates) {
        for (FeatureGate gate : FeatureGate.values()) {
            featureGates.labelValues(gate.label()).set(gates.on(gate) ? 1 : 0);
        }
    }

    void recordStoreCall(String operation, String outcome, Duration time) {
        storeCalls.labelValues(operation, outcome).inc();
        storeCallDuration.labelValues(operation).observe(seconds(time));
    }

    void recordWorkerCall(String operation, String outcome, Duration time) {
        workerCalls.labelValues(operation, outcome).inc();
        workerCallDuration.labelValues(operation).observe(seconds(time));
    }

    @Override
    public void recordCopyOutcome(CopyOutcome outcome) {
        copies.labelValues(outcome.label()).inc();
    }

    @Override
    public void recordRackWait(RackWaitOutcome outcome, Duration waited) {
        rackWait.labelValues(outcome.label()).observe(seconds(waited));
    }

    @Override
    public void recordAdmission(int priority, String outcome) {
        String label = Integer.toString(Math.max(0, Math.min(LAST_PRIORITY_LABEL, priority)));
        admissions.labelValues(label, outcome).inc();
    }

    @Override
    public void recordAdmissionWait(Duration expectedWait) {
        admissionWait.observe(seconds(expectedWait));
    }

    @Override
    public void recordPreemption() {
        preemptions.inc();
    }

    @Override
    public void recordMove(MoveReason reason) {
        moves.labelValues(reason.label()).inc();
    }

    @Override
    public void recordDeferredMove() {
        deferredMoves.inc();
    }

    @Override
    public void recordTimeWithoutOwner(Duration time) {
        timeWithoutOwner.set(seconds(time));
    }

    @Override
    public void recordLongestIdleTime(Duration longest) {
        longestIdleTime.set(seconds(longest));
    }

    @Override
    public void recordServiceCores(List<ServiceCores> services) {
        serviceCores.clear();
        for (ServiceCores each : services) {
            setServiceCores(each.service(), "total", each.total());
            setServiceCores(each.service(), "reserved", each.reserved());
            setServiceCores(each.service(), "running", each.running());
        }
    }

    private void setServiceCores(ServiceName service, String part, long milliCores) {
        serviceCores.labelValues(service.value(), part).set(milliCores / MILLICORES_PER_CORE);
    }

    void updateGauges(boolean ownsCell, int openJobCount, int evacuatedDataCentreCount) {
        owner.set(ownsCell ? 1 : 0);
        openJobs.set(openJobCount);
        evacuatedDataCentres.set(evacuatedDataCentreCount);
    }

    /** Returns all metrics in the Prometheus text format. */
    String text() {
        ByteArrayOutputStream stream = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(stream, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write the metrics: " + e.getMessage(), e);
        }
        return stream.toString(StandardCharsets.UTF_8);
    }

    private static double seconds(Duration time) {
        return time.toNanos() / NANOS_PER_SECOND;
    }
}
