package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.QueueSpec;

/**
 * The queues in the newest version that the owner of the cell knows: its own configuration's, or a newer one's that
 * came with a submission through a host which received that configuration earlier.
 */
final class KnownQueues {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The queues of newer configurations than the owner's own. */
    private final Map<QueueName, Received> received = new HashMap<>();

    private CellConfiguration configuration;

    /** The queues of {@link #configuration}, with those in {@link #received} in their place. */
    private CellConfiguration newest;

    KnownQueues(CellConfiguration configuration) {
        apply(configuration);
    }

    /** Applies a newer configuration of the owner. */
    void apply(CellConfiguration next) {
        configuration = next;
        received.values().removeIf(each -> each.version() <= next.version());
        combine();
    }

    /** Finds a queue by its name. */
    Optional<QueueSpec> queue(QueueName name) {
        return newest.queue(name);
    }

    /**
     * Takes note of the queue in a submission.
     *
     * @return whether it is of a newer configuration than what was known of the queue
     */
    boolean learn(JobRequest.Submit submit) {
        QueueName name = submit.queue().name();
        long version = submit.configurationVersion();
        boolean known = received.containsKey(name) && received.get(name).version() >= version;
        if (version <= configuration.version() || known) {
            return false;
        }
        LOGGER.atInfo().log(
                "event=newer_queue queue=%s version=%d own_version=%d", name, version, configuration.version());
        received.put(name, new Received(version, submit.queue()));
        combine();
        return true;
    }

    /**
     * Returns the queue to which a submission belongs: that to which a host with the newest configuration would route it.
     * The submission must have been passed to {@link #learn} before.
     *
     * @return the queue, or empty if a newer configuration than the sending host's has none for the submission
     */
    Optional<QueueSpec> resolve(JobRequest.Submit submit) {
        QueueSpec sent = submit.queue();
        if (submit.configurationVersion() > configuration.version()) {
            return Optional.of(received.get(sent.name()).queue());
        }
        Optional<QueueSpec> queue = newest.route(sent.host(), sent.prefix() + submit.id())
                .filter(each -> each.prefix().length() == sent.prefix().length());
        if (queue.isEmpty() && submit.configurationVersion() == JobRequest.Submit.UNKNOWN_VERSION) {
            return Optional.of(sent);
        }
        if (!queue.equals(Optional.of(sent))) {
            LOGGER.atInfo().log(
                    "event=queue_resolved job=%s queue=%s sent=%s sent_version=%d own_version=%d",
                    submit.id(),
                    queue.map(QueueSpec::name).orElse(null),
                    sent.name(),
                    submit.configurationVersion(),
                    configuration.version());
        }
        return queue;
    }

    private void combine() {
        // The first of several queues with the same path is the one to which it leads.
        List<QueueSpec> queues = received.values().stream()
                .sorted(Comparator.comparingLong(Received::version).reversed())
                .map(Received::queue)
                .collect(Collectors.toCollection(ArrayList::new));
        for (QueueSpec queue : configuration.queues()) {
            if (!received.containsKey(queue.name())) {
                queues.add(queue);
            }
        }
        newest = new CellConfiguration(configuration.version(), queues, configuration.maxBodyBytes());
    }

    private record Received(long version, QueueSpec queue) {}
}
