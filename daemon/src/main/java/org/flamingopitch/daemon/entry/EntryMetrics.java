package org.flamingopitch.daemon.entry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.flamingopitch.scheduler.node.NodeStatus;

/** Records the metrics of an entry host and writes them in the Prometheus text format. */
public final class EntryMetrics {

    private static final double NANOS_PER_SECOND = 1e9;

    private final PrometheusRegistry registry = new PrometheusRegistry();

    private final Counter answers = Counter.builder()
            .name("flamingopitch_answers_total")
            .help("Answers to callers by outcome.")
            .labelNames("outcome")
            .register(registry);

    private final Histogram answerDuration = Histogram.builder()
            .name("flamingopitch_answer_duration_seconds")
            .help("Time from a caller's request to its answer.")
            .classicUpperBounds(.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10)
            .classicOnly()
            .register(registry);

    private final Counter storeCalls = Counter.builder()
            .name("flamingopitch_store_calls_total")
            .help("Calls to the key-value service by operation.")
            .labelNames("operation")
            .register(registry);

    private final Counter workerCalls = Counter.builder()
            .name("flamingopitch_worker_calls_total")
            .help("Calls to workers by operation.")
            .labelNames("operation")
            .register(registry);

    private final Counter peerMessages = Counter.builder()
            .name("flamingopitch_peer_messages_total")
            .help("Messages to other entry hosts by type.")
            .labelNames("type")
            .register(registry);

    private final Gauge configVersion = Gauge.builder()
            .name("flamingopitch_config_version")
            .help("The version of the configuration in force.")
            .register(registry);

    private final Gauge ownedPartitions = Gauge.builder()
            .name("flamingopitch_owned_partitions")
            .help("Partitions that this process owns.")
            .labelNames("group")
            .register(registry);

    /**
     * Records an answer to an urgent request.
     *
     * @param outcome the outcome, used as label
     * @param duration the time from request to answer
     */
    public void recordAnswer(String outcome, Duration duration) {
        answers.labelValues(outcome).inc();
        answerDuration.observe(duration.toNanos() / NANOS_PER_SECOND);
    }

    /**
     * Counts a call to the key-value service.
     *
     * @param operation the kind of call, used as label
     */
    public void recordStoreCall(String operation) {
        storeCalls.labelValues(operation).inc();
    }

    /**
     * Counts a call to a worker.
     *
     * @param operation the kind of call, used as label
     */
    public void recordWorkerCall(String operation) {
        workerCalls.labelValues(operation).inc();
    }

    /**
     * Counts a message to another entry host.
     *
     * @param type the kind of message, used as label
     */
    public void recordPeerMessage(String type) {
        peerMessages.labelValues(type).inc();
    }

    /**
     * Sets the gauges to the state of the core.
     *
     * @param status the state of the core
     */
    public void updateGauges(NodeStatus status) {
        configVersion.set(status.configVersion());
        ownedPartitions.labelValues("racks").set(status.racks().size());
        ownedPartitions.labelValues("shards").set(status.shards().size());
    }

    /**
     * Writes all metrics in the Prometheus text format.
     *
     * @return the text
     */
    public String text() {
        ByteArrayOutputStream stream = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(stream, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return stream.toString(StandardCharsets.UTF_8);
    }
}
